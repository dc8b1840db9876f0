/**
 * What the heads of the regions say together. Each region is counted by its own head only: what
 * another head counts for it may be out of date, and a region whose head does not answer counts
 * as not in force anywhere.
 */
import type { Lagging, Refusal, StatusAnswer } from '../../peer/index.js'

/** The holder of a region's head duty, with its answer or the reason why there is none. */
export interface HeadReport { region: string, holder: string, answer: StatusAnswer | undefined, reason: string }

export interface RegionStatus { region: string, nodes: number, answered: boolean, reason: string }

export interface FleetStatus {
  regions: RegionStatus[]
  /** Nodes that announced themselves, also those of regions that did not answer. */
  nodes: number
  lost: number
  /** By service and version: nodes that have it in force. */
  counts: Record<string, Record<string, number>>
  lagging: Lagging[]
  refused: Refusal[]
}

export function sumFleet (heads: readonly HeadReport[]): FleetStatus {
  const answers = heads.flatMap(head => head.answer === undefined ? [] : [head.answer])
  const records = new Map(answers.flatMap(answer => answer.records).map(record => [record.host, record]))
  const holders = new Set(heads.map(head => head.holder))
  return {
    regions: listRegions(heads, [...records.values()].map(record => record.region)),
    nodes: records.size,
    lost: [...records.values()].filter(record => record.lost).length,
    counts: sumCounts(answers.flatMap(answer => listOwnSources(answer, holders))),
    lagging: [...new Map(answers.flatMap(answer => answer.lagging).map(one => [`${one.node} ${one.service}`, one])).values()],
    refused: listNewest(answers.flatMap(answer => answer.refused))
  }
}

/** The head's own region: what it counts without the heads of other regions that follow it. */
function listOwnSources ({ node, sources }: StatusAnswer, holders: ReadonlySet<string>): Array<StatusAnswer['counts']> {
  return Object.entries(sources).filter(([source]) => source === node || !holders.has(source)).map(([, counts]) => counts)
}

function sumCounts (sources: ReadonlyArray<StatusAnswer['counts']>): FleetStatus['counts'] {
  const sums: FleetStatus['counts'] = {}
  for (const [service, versions] of sources.flatMap(counts => Object.entries(counts))) {
    const sum = sums[service] ??= {}
    for (const [version, nodes] of Object.entries(versions)) sum[version] = (sum[version] ?? 0) + nodes
  }
  return sums
}

/** A region of which hosts are known but no head belongs to those that did not answer. */
function listRegions (heads: readonly HeadReport[], regionOfEachNode: readonly string[]): RegionStatus[] {
  const byRegion = new Map(heads.map(head => [head.region, head]))
  const names = [...new Set([...byRegion.keys(), ...regionOfEachNode])].sort()
  return names.map(region => {
    const head = byRegion.get(region)
    const nodes = regionOfEachNode.filter(one => one === region).length
    return { region, nodes, answered: head?.answer !== undefined, reason: head?.reason ?? 'it has no head' }
  })
}

function listNewest (refusals: readonly Refusal[]): Refusal[] {
  const newest = new Map<string, Refusal>()
  for (const refusal of refusals) {
    if ((newest.get(refusal.service)?.version ?? 0) < refusal.version) newest.set(refusal.service, refusal)
  }
  return [...newest.values()]
}
