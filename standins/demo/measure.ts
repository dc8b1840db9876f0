/**
 * What the demo measures, from the nodes' own time lines and the links' byte counts.
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

export async function collectEvents (hosts: readonly HostLayout[]): Promise<TimelineEvent[][]> {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const answers = await Promise.all(hosts.map(async host => await client.queryTimeline(formatAddress(host, 'peer'))))
  client.close()
  return answers.map(answer => answer.ok ? answer.val.events : [])
}

/** One sample for each edit and node: milliseconds from acceptance to the first version in force that includes it. */
export function measureConvergence (edits: readonly AcceptedEdit[], rings: readonly TimelineEvent[][]): Convergence {
  const samples = build({ numberOfSignificantValueDigits: 3 })
  let missing = 0
  let reverted = 0
  for (const ring of rings) {
    const applied = ring.filter(event => event.kind === 'document-applied')
    reverted += countReverts(applied)
    for (const edit of edits) {
      const inForce = applied.find(event => event.service === edit.service && (event.version ?? 0) >= edit.version)
      if (inForce === undefined) missing += 1
      else samples.recordValue(Math.max(0, inForce.wall - edit.acceptedAt))
    }
  }
  return { p50: samples.getValueAtPercentile(50), p99: samples.getValueAtPercentile(99), max: samples.maxValue, missing, reverted }
}

function countReverts (applied: readonly TimelineEvent[]): number {
  const newest = new Map<string, number>()
  let reverts = 0
  for (const { service = '', version = 0 } of applied) {
    if (version < (newest.get(service) ?? 0)) reverts += 1
    newest.set(service, Math.max(version, newest.get(service) ?? 0))
  }
  return reverts
}

/** Sums over all nodes; each counts the links that it opened itself, both directions. */
export async function sumLinkBytes (hosts: readonly HostLayout[]): Promise<LinkBytes> {
  const sum: LinkBytes = { zone: 0, region: 0, platform: 0 }
  for (const host of hosts) {
    try {
      const answer = await request(`http://${formatAddress(host, 'links')}/links`)
      const bytes = await answer.body.json() as LinkBytes
      for (const kind of ['zone', 'region', 'platform'] as const) sum[kind] += bytes[kind]
    } catch {
      continue
    }
  }
  return sum
}

/** Runs of each idempotency key over all targets that still answer. */
export async function collectRuns (hosts: readonly HostLayout[]): Promise<Map<string, number>> {
  const runs = new Map<string, number>()
  for (const host of hosts) {
    try {
      const answer = await request(`http://${formatAddress(host, 'target')}/runs`)
      for (const [key, count] of Object.entries(await answer.body.json() as Record<string, number>)) runs.set(key, (runs.get(key) ?? 0) + count)
    } catch {
      continue
    }
  }
  return runs
}
