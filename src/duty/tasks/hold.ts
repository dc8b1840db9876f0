/**
 * The task of one held lease: renews it until it is lost, or releases it when told to stop.
 */
import type { Clock, Logger } from '../../core/index.js'
import type { ObjectStore } from '../../platform/index.js'
import { releaseLease, renewLease } from '../commands/claim.js'
import type { LeaseGrant } from '../commands/claim.js'
import { LEASE_MS, RENEW_INTERVAL_MS } from '../schema.js'

export interface HoldOptions {
  store: ObjectStore
  clock: Clock
  log: Logger
  onRenewed: (grant: LeaseGrant) => void
  /** The platform has not answered for LEASE_MS, or answers again. */
  onSource: (up: boolean) => void
}

/** Ends when another holder has the lease or the signal is aborted. */
export async function holdLease (options: HoldOptions, first: LeaseGrant, signal: AbortSignal): Promise<void> {
  const { store, clock, log } = options
  let grant = first
  let renewedAt = clock.monotonic()
  while (true) {
    await clock.sleep(RENEW_INTERVAL_MS, signal)
    if (signal.aborted) break
    const renewed = await renewLease(store, grant)
    if (renewed.ok) {
      grant = renewed.val
      renewedAt = clock.monotonic()
      options.onSource(true)
      options.onRenewed(grant)
    } else if (renewed.val.code === 'conflict') {
      log.info(`lost ${grant.duty}: ${renewed.val.message}`)
      return
    } else if (clock.monotonic() - renewedAt > LEASE_MS) {
      options.onSource(false)
    }
  }
  await releaseLease(store, grant)
}
