/**
 * Selects the owner of an account's bucket among hosts by rendezvous hashing, so that a host that joins or leaves moves only the
 * buckets that it owns itself.
 */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

export interface RankedHost { host: string, rank: number }

/** Returns the host with the highest hash of (account, host), undefined without hosts. */
export function selectOwner (account: string, hosts: Iterable<string>): RankedHost | undefined {
  let owner: RankedHost | undefined
  for (const host of hosts) owner = pickHigher(owner, makeRankedHost(account, host))
  return owner
}

export function pickHigher (left: RankedHost | undefined, right: RankedHost): RankedHost {
  if (left === undefined || right.rank > left.rank) return right
  return right.rank === left.rank && right.host > left.host ? right : left
}

export function makeRankedHost (account: string, host: string): RankedHost {
  return { host, rank: hashPair(account, host) }
}

/** FNV-1a with the final mixing of MurmurHash3, since the names of hosts differ only in their last characters. */
function hashPair (account: string, host: string): number {
  const text = `${account}\n${host}`
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
