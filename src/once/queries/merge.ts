/**
 * What changes of claims mean against the state of a shard, and the state that they make of it.
 */
import type { Claim, Outcome, Shard } from '../schema.js'

/** Either the entry to claim with, or the outcome of an earlier claim of the same attempt. */
export type Change = { id: string, attempt: string } & ({ claim: Claim } | { outcome: Outcome })

/** `settled`: the change is in the shard. `refused`: it can never be. `open`: a write can put it there. */
export type Standing = 'settled' | 'refused' | 'open'

/** Room for claims is kept free: outcomes lose their bodies first. */
const MAX_BYTES_WITH_BODIES = 400_000
const MAX_BYTES = 950_000
const ENTRY_OVERHEAD_BYTES = 200

/** A released key is free. Only the attempt that claimed may settle, and only once. */
export function findStanding ({ claims }: Shard, change: Change): Standing {
  const held = claims[change.id]
  const isOwn = held?.attempt === change.attempt
  if ('claim' in change) {
    if (isOwn) return 'settled'
    return held === undefined || held.state === 'released' ? 'open' : 'refused'
  }
  if (!isOwn) return 'refused'
  return held?.state === 'claimed' ? 'open' : 'settled'
}

/** Of two claims on one key the first wins; the second finds it. */
export function mergeChanges (before: Shard, changes: readonly Change[]): Shard {
  const shard = { claims: { ...before.claims } }
  for (const change of changes) {
    if (findStanding(shard, change) !== 'open') continue
    const held = shard.claims[change.id]
    if ('claim' in change) shard.claims[change.id] = change.claim
    else if (held !== undefined) shard.claims[change.id] = { ...held, ...change.outcome }
  }
  return measureShard(shard) < MAX_BYTES_WITH_BODIES ? shard : dropBodies(shard)
}

export function hasRoom (shard: Shard): boolean {
  return measureShard(shard) < MAX_BYTES
}

function dropBodies ({ claims }: Shard): Shard {
  return { claims: Object.fromEntries(Object.entries(claims).map(([id, { body: _dropped, ...claim }]) => [id, claim])) }
}

/** An upper estimate, since the exact text of a large shard would cost milliseconds at each write. */
function measureShard ({ claims }: Shard): number {
  let bytes = 0
  for (const [id, claim] of Object.entries(claims)) {
    bytes += ENTRY_OVERHEAD_BYTES + id.length + claim.node.length + (claim.type?.length ?? 0) + (claim.body?.length ?? 0)
  }
  return bytes
}
