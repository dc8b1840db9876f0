/**
 * What all nodes say together. A node that does not answer counts as not having any version in force.
 */
import type { RefusedVersion } from '../../configuration/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { StatusResponse } from '../../peer/index.js'

/** A host's answer, or the reason why there is none. */
export interface NodeReport { record: HostRecord, response: StatusResponse | undefined, reason: string }

export interface UnresponsiveNode { host: string, zone: string, region: string, reason: string }

export interface LaggingNode { host: string, service: string, version: number }

export interface FleetStatus {
  /** Nodes that have a record in the store. */
  nodes: number
  silent: UnresponsiveNode[]
  /** By service and version: nodes that have it in force. */
  counts: Record<string, Record<string, number>>
  /** Nodes that have an older version in force than another node. */
  lagging: LaggingNode[]
  /** Nodes that the store does not answer. */
  withoutStore: string[]
  refused: RefusedVersion[]
}

const MAX_LAGGING = 20

export function computeFleetStatus (reports: readonly NodeReport[]): FleetStatus {
  const answers = reports.flatMap(({ response: answer }) => answer ?? [])
  return {
    nodes: reports.length,
    silent: reports.filter(({ response: answer }) => answer === undefined).map(makeUnresponsive),
    counts: sumCounts(answers),
    lagging: listLagging(answers).slice(0, MAX_LAGGING),
    withoutStore: answers.filter(({ source }) => !source).map(({ node }) => node),
    refused: listNewestRefusals(answers.flatMap(({ refused }) => refused))
  }
}

function makeUnresponsive ({ record: { host, zone, region }, reason }: NodeReport): UnresponsiveNode {
  return { host, zone, region, reason }
}

function sumCounts (answers: readonly StatusResponse[]): FleetStatus['counts'] {
  const sums: FleetStatus['counts'] = {}
  for (const [service, version] of answers.flatMap(({ versions }) => Object.entries(versions))) {
    const sum = sums[service] ??= {}
    sum[String(version)] = (sum[String(version)] ?? 0) + 1
  }
  return sums
}

function listLagging (answers: readonly StatusResponse[]): LaggingNode[] {
  const newest: Record<string, number> = {}
  for (const { versions } of answers) {
    for (const [service, version] of Object.entries(versions)) newest[service] = Math.max(version, newest[service] ?? 0)
  }
  return answers.flatMap(({ node, versions }) => Object.entries(newest)
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
