/**
 * The task of one held lease: reads it now and then until another node has it, or releases it when
 * told to stop. The root of the tree reads it often, since this also tells whether the platform answers.
 */
import type { Clock, Logger } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { releaseLease } from '../commands/claim.js'
import type { LeaseGrant } from '../commands/claim.js'
import { readLease } from '../queries/holder.js'
import type { HeldLease } from '../queries/holder.js'
import type { Lease } from '../schema.js'

/** For holders below the root; until it reads, a replaced holder only costs bytes. */
const VERIFY_INTERVAL_MS = 15_000
const CHECK_INTERVAL_MS = 500
/** The platform counts as down when it has not answered the root for so long. */
const SOURCE_LIMIT_MS = 1_500
/** A check that comes so late means that the process was paused and may have been replaced. */
const PAUSE_MS = 1_500

export interface HoldOptions {
  store: ObjectStore
  clock: Clock
  log: Logger
  /** Whether this node is at the root of the tree by this duty. */
  isRoot: () => boolean
  /** The platform answers the root, or has not for SOURCE_LIMIT_MS. */
  onSource: (up: boolean) => void
}

/** Gives the lease of the new holder, or nothing when the signal was aborted. */
export async function holdLease (options: HoldOptions, grant: LeaseGrant, signal: AbortSignal): Promise<Lease | undefined> {
  const { store, clock, log } = options
  let verifiedAt = clock.monotonic()
  let answeredAt = verifiedAt
  while (true) {
    const sleptFrom = clock.monotonic()
    await clock.sleep(CHECK_INTERVAL_MS, signal)
    if (signal.aborted) break
    const now = clock.monotonic()
    const isPaused = now - sleptFrom > PAUSE_MS
    if (!isPaused && !options.isRoot() && now - verifiedAt < VERIFY_INTERVAL_MS) continue
    verifiedAt = now
    const held = await readLease(store, grant.duty)
    if (signal.aborted) break
    if (held.ok) {
      answeredAt = clock.monotonic()
      options.onSource(true)
    } else if (clock.monotonic() - answeredAt > SOURCE_LIMIT_MS) options.onSource(false)
    const lost = held.ok ? findSuccessor(grant, held.val) : undefined
    if (lost === undefined) continue
    log.info(`lost ${grant.duty} to ${lost.holder}`)
    return lost
  }
  await releaseLease(store, grant)
  return undefined
}

/** A read may be stale: a version below the grant's says nothing. */
function findSuccessor (grant: LeaseGrant, held: HeldLease): Lease | undefined {
  if (held.version <= grant.version || held.lease?.holder === grant.lease.holder) return undefined
  return held.lease
}
