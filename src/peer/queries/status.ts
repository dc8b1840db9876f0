/**
 * What a node reports of itself and its subtree.
 */
import type { FetchAnswer, StatusAnswer } from '../messages.js'
import type { Replica } from '../replica.js'
import { listUpdates } from './pending.js'

export function makeStatus (replica: Replica): StatusAnswer {
  const { identity, place, acks } = replica
  const counts = acks.sumCounts(acks.listServices())
  return {
    node: identity.host,
    zone: identity.zone,
    region: identity.region,
    ready: replica.ready,
    duties: [...replica.duties],
    upstream: place.upstream,
    nodes: countNodes(counts),
    counts,
    sources: acks.readSources(),
    lagging: acks.listLagging(),
    refused: [...replica.refusals.values()],
    records: replica.listRecords()
  }
}

/** Each node of the subtree reports each service once, so the largest sum is the number of nodes. */
function countNodes (counts: StatusAnswer['counts']): number {
  const sums = Object.values(counts).map(versions => Object.values(versions).reduce((sum, nodes) => sum + nodes, 0))
  return Math.max(0, ...sums)
}

export function makeFetchAnswer (replica: Replica): FetchAnswer {
  return {
    ready: replica.ready,
    updates: listUpdates(replica, replica.table.staged.keys(), {}),
    records: replica.listRecords(),
    duties: Object.fromEntries([...replica.duties].map(duty => [duty, replica.identity.peer]))
  }
}
