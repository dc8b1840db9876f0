/**
 * Who holds a duty, and whether the lease looks abandoned. Age is measured by the reader's own
 * monotonic clock, from the first time it saw the present renewal count.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Clock, Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../platform/index.js'
import { LEASE_MS, leaseSchema } from '../schema.js'
import type { Lease } from '../schema.js'

export interface HeldLease { version: number, lease: Lease | undefined }

export async function readLease (store: ObjectStore, duty: string): Promise<Result<HeldLease, Fault>> {
  const found = await store.queries.get('duty', duty)
  if (found.err) return Err(makeFault(found.val.code, found.val.message))
  if (found.val === undefined) return Ok({ version: 0, lease: undefined })
  const lease = leaseSchema.safeParse(found.val.value)
  return Ok({ version: found.val.version, lease: lease.success ? lease.data : undefined })
}

export class LeaseObserver {
  private readonly seen = new Map<string, { version: number, at: number }>()

  constructor (private readonly clock: Clock) {}

  /** True when the lease may be claimed. `beatRenewals` is the count in the holder's last beat, sent LEASE_MS ago or earlier. */
  observe (duty: string, held: HeldLease, beatRenewals: number | undefined): boolean {
    if (held.lease === undefined || held.lease.released) return true
    if (held.lease.renewals === beatRenewals) return true
    const seen = this.seen.get(duty)
    if (seen?.version === held.version) return this.clock.monotonic() - seen.at >= LEASE_MS
    this.seen.set(duty, { version: held.version, at: this.clock.monotonic() })
    return false
  }
}
