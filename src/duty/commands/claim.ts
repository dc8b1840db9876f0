/**
 * Conditional writes on a lease: claim and release. A lost answer is resolved by reading back.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { readLease } from '../queries/holder.js'
import type { Lease } from '../schema.js'

export interface LeaseGrant { duty: string, version: number, lease: Lease }

/** `expected` is the version that the claimant has read; another claimant's write makes it a conflict. */
export async function claimLease (store: ObjectStore, duty: string, expected: number, lease: Lease): Promise<Result<LeaseGrant, Fault>> {
  const written = await store.commands.write({ kind: 'duty', name: duty, expected, value: lease })
  if (written.ok) return Ok({ duty, version: written.val, lease })
  if (written.val.code === 'conflict' || written.val.code === 'unknown') return await resolveClaim(store, duty, lease)
  return Err(makeFault(written.val.code, written.val.message))
}

/** The claim may have taken effect although its answer was lost. */
async function resolveClaim (store: ObjectStore, duty: string, lease: Lease): Promise<Result<LeaseGrant, Fault>> {
  const held = await readLease(store, duty)
  if (held.err) return held
  if (held.val.lease?.holder === lease.holder && !held.val.lease.released) {
    return Ok({ duty, version: held.val.version, lease: held.val.lease })
  }
  return Err(makeFault('conflict', `${duty} is held by ${held.val.lease?.holder ?? 'nobody'}`))
}

/** Best effort: subscribers see the holder's streams end in any case. */
export async function releaseLease (store: ObjectStore, grant: LeaseGrant): Promise<void> {
  await store.commands.write({ kind: 'duty', name: grant.duty, expected: grant.version, value: { ...grant.lease, released: true } })
}
