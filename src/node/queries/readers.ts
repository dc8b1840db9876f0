/**
 * Selects the nodes of a zone that follow the store directly. The other nodes get new versions from them, so a burst of versions costs
 * the store a few calls in each zone, and links between regions carry each version a few times only. The selection is a hint: nodes
 * that know different hosts select different readers, and each node also asks the store itself from time to time.
 */
import type { HostRecord } from '../../membership/index.js'

const READERS_PER_ZONE = 3

export interface ZoneRoles {
  readers: readonly string[]
  /** False in a small zone, whose hosts are all readers. */
  hasFollowers: boolean
  /** The hosts that a reader tells of a new version. Each host that is no reader is told by one of them. */
  listFollowers: (reader: string) => string[]
}

/** `hosts` are those of the zone that the node can reach, itself included. */
export function deriveZoneRoles (hosts: ReadonlyArray<Pick<HostRecord, 'host'>>): ZoneRoles {
  const ranked = hosts.map(({ host }) => ({ host, rank: computeRank(host) })).sort(compareRanked)
  const readers = ranked.slice(0, READERS_PER_ZONE).map(({ host }) => host)
  const followers = ranked.slice(READERS_PER_ZONE).map(({ host }) => host)
  const listFollowers = (reader: string): string[] => {
    const position = readers.indexOf(reader)
    return position < 0 ? [] : followers.filter((_, index) => index % readers.length === position)
  }
  return { readers, hasFollowers: followers.length > 0, listFollowers }
}

interface RankedHost { host: string, rank: number }

function compareRanked (left: RankedHost, right: RankedHost): number {
  return left.rank - right.rank || (left.host < right.host ? -1 : 1)
}

const FNV_OFFSET_BASIS = 0x811C9DC5
const FNV_PRIME = 0x01000193

/** The FNV-1a hash, so that the readers are not the hosts that were set up first. */
function computeRank (host: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < host.length; index += 1) hash = Math.imul(hash ^ host.charCodeAt(index), FNV_PRIME)
  return hash >>> 0
}
