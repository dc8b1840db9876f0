/**
 * Computes the figures of the demo from the time lines of the nodes and the byte counters of the links.
 */
import { request } from 'undici'
import { build } from 'hdr-histogram-js'
import { Dialer, MsgpackCodec, PeerClient } from '../../src/peer/index.js'
import type { TimelineEvent } from '../../src/timeline/index.js'
import { formatAddress } from '../layout/schema.js'
import type { HostLayout } from '../layout/schema.js'
import type { LinkBytes } from '../link/dialer.js'

export interface AcceptedEdit { service: string, version: number, acceptedAt: number }

export interface Convergence { p50: number, p99: number, max: number, missing: number, reverted: number }

export async function collectTimelines (hosts: readonly HostLayout[]): Promise<TimelineEvent[][]> {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const responses = await Promise.all(hosts.map(async host => await client.queryTimeline(formatAddress(host, 'peer'))))
  client.close()
  return responses.map(response => response.ok ? response.val.events : [])
}

/** Each edit gives one sample on each node: the milliseconds from its acceptance until a version that includes it is first in force there. */
export function measureConvergence (edits: readonly AcceptedEdit[], timelines: readonly TimelineEvent[][]): Convergence {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  let missing = 0
  let reverted = 0
  for (const timeline of timelines) {
    const applied = timeline.filter(event => event.kind === 'document-applied')
    reverted += countReverts(applied)
    for (const edit of edits) {
      const firstInForce = applied.find(event => event.service === edit.service && (event.version ?? 0) >= edit.version)
      if (firstInForce === undefined) missing += 1
      else histogram.recordValue(Math.max(0, firstInForce.wall - edit.acceptedAt))
    }
  }
  return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), max: histogram.maxValue, missing, reverted }
}

function countReverts (applied: readonly TimelineEvent[]): number {
  const newestVersions = new Map<string, number>()
  let reverts = 0
  for (const { service = '', version = 0 } of applied) {
    if (version < (newestVersions.get(service) ?? 0)) reverts += 1
    newestVersions.set(service, Math.max(version, newestVersions.get(service) ?? 0))
  }
  return reverts
}

const LINK_KINDS = ['zone', 'region', 'platform'] as const

/** Returns the bytes of each reachable node by its host. Each node counts both directions of the links that it opened. */
export async function collectLinkBytes (hosts: readonly HostLayout[]): Promise<Map<string, LinkBytes>> {
  const collected = new Map<string, LinkBytes>()
  for (const host of hosts) {
    try {
      const response = await request(`http://${formatAddress(host, 'links')}/links`)
      collected.set(host.host, await response.body.json() as LinkBytes)
    } catch {
      continue
    }
  }
  return collected
}

export function sumLinkBytes (collected: ReadonlyMap<string, LinkBytes>): LinkBytes {
  const sum: LinkBytes = { zone: 0, region: 0, platform: 0 }
  for (const bytes of collected.values()) for (const kind of LINK_KINDS) sum[kind] += bytes[kind]
  return sum
}

/** Returns the bytes between two readings, of the nodes that are in both: a node that was killed in between is in the first one only. */
export function computeTraffic (before: ReadonlyMap<string, LinkBytes>, after: ReadonlyMap<string, LinkBytes>): LinkBytes {
  const sumBefore = sumLinkBytes(new Map([...before].filter(([host]) => after.has(host))))
  const sumAfter = sumLinkBytes(new Map([...after].filter(([host]) => before.has(host))))
  return { zone: sumAfter.zone - sumBefore.zone, region: sumAfter.region - sumBefore.region, platform: sumAfter.platform - sumBefore.platform }
}

/** Returns how often each idempotency key ran, summed over all reachable targets. */
export async function collectRuns (hosts: readonly HostLayout[]): Promise<Map<string, number>> {
  const runs = new Map<string, number>()
  for (const host of hosts) {
    try {
      const response = await request(`http://${formatAddress(host, 'target')}/runs`)
      for (const [key, count] of Object.entries(await response.body.json() as Record<string, number>)) runs.set(key, (runs.get(key) ?? 0) + count)
    } catch {
      continue
    }
  }
  return runs
}
