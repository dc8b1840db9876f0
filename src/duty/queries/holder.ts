/**
 * Who holds a duty, and whether a node may claim it.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { leaseSchema } from '../schema.js'
import type { Lease } from '../schema.js'

export interface HeldLease { version: number, lease: Lease | undefined }

export async function readLease (store: ObjectStore, duty: string): Promise<Result<HeldLease, Fault>> {
  const found = await store.queries.get('duty', duty)
  if (found.err) return Err(makeFault(found.val.code, found.val.message))
  if (found.val === undefined) return Ok({ version: 0, lease: undefined })
  const lease = leaseSchema.safeParse(found.val.value)
  return Ok({ version: found.val.version, lease: lease.success ? lease.data : undefined })
}

/**
 * A node may claim a duty that nobody holds, that its own host held before a restart, or whose
 * holder did not answer it or answered without the duty.
 */
export function isClaimable (lease: Lease | undefined, host: string, isGone: (peer: string) => boolean): boolean {
  return lease === undefined || lease.released || lease.holder === host || isGone(lease.peer)
}
