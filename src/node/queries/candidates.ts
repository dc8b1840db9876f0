/**
 * Which peers a node may follow, in the order to try them, and which duty it may claim when none answers.
 */
import { formatHeadDuty, formatRelayDuty } from '../../duty/index.js'
import type { Replica } from '../../peer/index.js'

/** What a node remembers of the tree while it has no upstream. */
export interface Known {
  /** Peers above the last upstream position, the nearest first. */
  above: readonly string[]
  /** The peers that may claim the duty of the last upstream. */
  candidates: readonly string[]
  /** Holders of duties that followed this node when it lost its source; one of them may have one now. */
  below: readonly string[]
  /** Holders of the duty above, as the platform says. */
  holders: readonly string[]
  bootstrap: readonly string[]
}

/**
 * A holder of a duty follows holders of the duty above. Other nodes stay in their zone, so that the
 * loss of a relay does not send a whole zone across a region link.
 */
export function listCandidates (replica: Replica, known: Known): string[] {
  if (hasHead(replica)) return listOthers(replica, [...known.holders, ...known.above])
  if (replica.duties.size > 0) return listOthers(replica, [...known.holders, ...known.above.slice(0, 1)])
  const near = known.above.filter(peer => findZone(replica, peer) === replica.identity.zone)
  return listOthers(replica, [...known.holders, ...near, ...known.candidates, ...known.bootstrap])
}

/** When the platform does not answer either, any peer will do. */
export function listAnyone (replica: Replica, known: Known): string[] {
  return listOthers(replica, [...known.holders, ...known.above, ...known.candidates, ...replica.duties.size > 0 ? [] : known.bootstrap])
}

/** The lowest two subscribers of the lost upstream and the bootstrap peers ask the platform at once, the others much later. */
export function isCandidate (replica: Replica, known: Known): boolean {
  return replica.duties.size > 0 || [...known.candidates, ...known.bootstrap].includes(replica.identity.peer)
}

export function hasHead (replica: Replica): boolean {
  return replica.duties.has(formatHeadDuty(replica.identity.region))
}

/** The duty that the node may claim next; a head was a relay first. */
export function findDuty (replica: Replica): string | undefined {
  if (hasHead(replica)) return undefined
  const relay = formatRelayDuty(replica.identity.zone)
  return replica.duties.has(relay) ? formatHeadDuty(replica.identity.region) : relay
}

function findZone (replica: Replica, peer: string): string | undefined {
  return replica.listRecords().find(record => record.peer === peer)?.zone
}

function listOthers (replica: Replica, peers: readonly string[]): string[] {
  return [...new Set(peers)].filter(peer => peer !== replica.identity.peer)
}
