/**
 * Which peers a node may follow, in the order to try them, and which duty it may claim when none answers.
 */
import { formatHeadDuty, formatRelayDuty } from '../../duty/index.js'
import type { Replica } from '../../peer/index.js'

export interface Known {
  /** Where the last publisher sent this node. */
  redirected: readonly string[]
  /** Holders of the duty above, as the platform says. */
  holders: readonly string[]
  bootstrap: readonly string[]
}

/** A holder of a duty follows only holders of the duty above; other nodes also follow nodes of their zone. */
export function listCandidates (replica: Replica, known: Known): string[] {
  const ancestors = [...replica.place.pathPeers].reverse()
  const peers = replica.duties.size > 0
    ? known.holders
    : [...known.redirected, ...ancestors, ...replica.place.candidates, ...known.holders, ...known.bootstrap]
  return [...new Set(peers)].filter(peer => peer !== replica.identity.peer)
}

export function findDuty (replica: Replica): string | undefined {
  const relay = formatRelayDuty(replica.identity.zone)
  const head = formatHeadDuty(replica.identity.region)
  if (replica.duties.has(head)) return undefined
  return replica.duties.has(relay) ? head : relay
}
