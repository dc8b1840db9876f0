/**
 * Conditional writes on a lease: claim, renew and release. A lost answer is resolved by reading back.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../platform/index.js'
import { readLease } from '../queries/holder.js'
import type { Lease } from '../schema.js'

export interface LeaseGrant { duty: string, version: number, lease: Lease }

export async function writeLease (store: ObjectStore, duty: string, expected: number, lease: Lease): Promise<Result<LeaseGrant, Fault>> {
  const written = await store.commands.write({ kind: 'duty', name: duty, expected, value: lease })
  if (written.ok) return Ok({ duty, version: written.val, lease })
  if (written.val.code !== 'conflict') return Err(makeFault(written.val.code, written.val.message))
  return await resolveConflict(store, duty, lease)
}

/** The conflict may be with an earlier write of this very lease whose answer was lost. */
async function resolveConflict (store: ObjectStore, duty: string, lease: Lease): Promise<Result<LeaseGrant, Fault>> {
  const held = await readLease(store, duty)
  if (held.err) return held
  if (held.val.lease?.holder === lease.holder && !held.val.lease.released) {
    return Ok({ duty, version: held.val.version, lease: held.val.lease })
  }
  return Err(makeFault('conflict', `${duty} is held by ${held.val.lease?.holder ?? 'nobody'}`))
}

export async function renewLease (store: ObjectStore, grant: LeaseGrant): Promise<Result<LeaseGrant, Fault>> {
  return await writeLease(store, grant.duty, grant.version, { ...grant.lease, renewals: grant.lease.renewals + 1 })
}

export async function releaseLease (store: ObjectStore, grant: LeaseGrant): Promise<void> {
  await writeLease(store, grant.duty, grant.version, { ...grant.lease, released: true })
}
