/**
 * Selects the peers that are told of a change at once. The periodic exchanges, which mostly stay within a zone, carry it on, so a few
 * peers in each zone suffice for most changes. The load pattern is a burst of changes, such as a release or a start of the whole
 * fleet, in which each message to every node would cost the number of nodes squared.
 */
import type { Random } from '../../core/index.js'
import type { HostRecord } from '../../membership/index.js'

/** `some`: a few peers in each zone. `many`: for changes that make calls fail at every node that does not know them. */
export type NotificationReach = 'some' | 'many'

const LOCAL_ZONE_PEERS = 3
const OTHER_ZONE_PEERS = 2
const MAX_PEERS: Readonly<Record<NotificationReach, number>> = { some: 16, many: 32 }

const COMPARED_LOCAL_PEERS = 2
const COMPARED_OTHER_PEERS = 2

/** Selects peers with which a starting node compares its version: of its zone, and of others, since a zone may start as a whole. */
export function selectComparedPeers (peers: readonly HostRecord[], localZone: string, random: Random): HostRecord[] {
  const shuffled = shufflePeers(peers, random)
  const local = shuffled.filter(({ zone }) => zone === localZone).slice(0, COMPARED_LOCAL_PEERS)
  const others = shuffled.filter(({ zone }) => zone !== localZone).slice(0, COMPARED_OTHER_PEERS)
  return [...local, ...others]
}

export function selectNotifiedPeers (peers: readonly HostRecord[], localZone: string, reach: NotificationReach, random: Random): HostRecord[] {
  const shuffled = shufflePeers(peers, random)
  return reach === 'many' ? shuffled.slice(0, MAX_PEERS.many) : filterByZone(shuffled, localZone).slice(0, MAX_PEERS.some)
}

/** Peers of the local zone come first, since the number of zones may exceed the maximum. */
function filterByZone (peers: readonly HostRecord[], localZone: string): HostRecord[] {
  const local = peers.filter(({ zone }) => zone === localZone).slice(0, LOCAL_ZONE_PEERS)
  const counts = new Map<string, number>()
  const others = peers.filter(({ zone }) => {
    const count = counts.get(zone) ?? 0
    counts.set(zone, count + 1)
    return zone !== localZone && count < OTHER_ZONE_PEERS
  })
  return [...local, ...others]
}

function shufflePeers (peers: readonly HostRecord[], random: Random): HostRecord[] {
  const ranked = peers.map(peer => ({ peer, rank: random.next() }))
  return ranked.sort((left, right) => left.rank - right.rank).map(({ peer }) => peer)
}
