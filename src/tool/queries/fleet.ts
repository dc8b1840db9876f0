/**
 * Summarizes the status of all nodes. A node that does not respond counts as having no version in force.
 */
import type { RefusedVersion } from '../../configuration/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { StatusResponse } from '../../peer/index.js'

/** The response of a host's node, or the reason why there is none. */
export interface NodeReport { record: HostRecord, response: StatusResponse | undefined, reason: string }

export interface UnresponsiveNode { host: string, zone: string, region: string, reason: string }

export interface LaggingNode { host: string, service: string, version: number }

export interface FleetStatus {
  /** Number of nodes that have a record in the store. */
  nodes: number
  silent: UnresponsiveNode[]
  /** Number of nodes that have a version in force, by service and version. */
  counts: Record<string, Record<string, number>>
  /** Nodes that have an older version in force than another node has. */
  lagging: LaggingNode[]
  /** Nodes that cannot reach the store. */
  withoutStore: string[]
  refused: RefusedVersion[]
}

const MAX_LAGGING = 20

export function computeFleetStatus (reports: readonly NodeReport[]): FleetStatus {
  const responses = reports.flatMap(({ response }) => response ?? [])
  return {
    nodes: reports.length,
    silent: reports.filter(({ response }) => response === undefined).map(makeUnresponsive),
    counts: sumCounts(responses),
    lagging: listLagging(responses).slice(0, MAX_LAGGING),
    withoutStore: responses.filter(({ source }) => !source).map(({ node }) => node),
    refused: listNewestRefusals(responses.flatMap(({ refused }) => refused))
  }
}

function makeUnresponsive ({ record: { host, zone, region }, reason }: NodeReport): UnresponsiveNode {
  return { host, zone, region, reason }
}

function sumCounts (responses: readonly StatusResponse[]): FleetStatus['counts'] {
  const sums: FleetStatus['counts'] = {}
  for (const [service, version] of responses.flatMap(({ versions }) => Object.entries(versions))) {
    const sum = sums[service] ??= {}
    sum[String(version)] = (sum[String(version)] ?? 0) + 1
  }
  return sums
}

function listLagging (responses: readonly StatusResponse[]): LaggingNode[] {
  const newest: Record<string, number> = {}
  for (const { versions } of responses) {
    for (const [service, version] of Object.entries(versions)) newest[service] = Math.max(version, newest[service] ?? 0)
  }
  return responses.flatMap(({ node, versions }) => Object.entries(newest)
    .map(([service]) => ({ host: node, service, version: versions[service] ?? 0 }))
    .filter(({ service, version }) => version < (newest[service] ?? 0)))
}

function listNewestRefusals (refusals: readonly RefusedVersion[]): RefusedVersion[] {
  const newest = new Map<string, RefusedVersion>()
  for (const refusal of refusals) {
    if ((newest.get(refusal.service)?.version ?? 0) < refusal.version) newest.set(refusal.service, refusal)
  }
  return [...newest.values()]
}
