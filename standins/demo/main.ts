/**
 * The demo: one deployment at its real size in separate processes. Applies documents, sends calls
 * from several zones, edits a document meanwhile, kills a node and a target, and prints what came of it.
 * `--kamisori` takes the other deployment, `--json` prints JSON, `--timeline=FILE` writes the time line
 * of all nodes as an HTML page. Exit code 1 when a promise was broken.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { formatHtmlPage, mergeEvents } from '../../src/timeline/index.js'
import { sendCalls } from '../caller/load.js'
import type { CallKind, CallResult } from '../caller/load.js'
import { findBlock, Processes } from '../layout/processes.js'
import { formatAddress, KAMISORI, MANDAP, placeHosts } from '../layout/schema.js'
import type { HostLayout, Placement } from '../layout/schema.js'
import { collectEvents, collectRuns, measureConvergence, sumLinkBytes } from './measure.js'
import type { AcceptedEdit } from './measure.js'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const READY_LIMIT_MS = 30_000
const CALL_INTERVAL_MS = 10
const EDITS = 6
const EDIT_INTERVAL_MS = 1_000
const SETTLE_MS = 2_000

const MANDAP_CALLS: CallKind[] = [
  { service: 'counter-desk', method: 'GET', path: '/availability?day=fri', keyed: false, bodyBytes: 0 },
  { service: 'counter-desk', method: 'POST', path: '/bookings', keyed: true, bodyBytes: 200 },
  { service: 'design-gallery', method: 'GET', path: '/designs', keyed: false, bodyBytes: 0 },
  { service: 'design-gallery', method: 'PUT', path: '/photos/1', keyed: false, bodyBytes: 100_000 }
]

const KAMISORI_CALLS: CallKind[] = [
  { service: 'booking', method: 'GET', path: '/calendar?week=12', keyed: false, bodyBytes: 0 },
  { service: 'booking', method: 'POST', path: '/bookings', keyed: true, bodyBytes: 200 },
  { service: 'gallery', method: 'GET', path: '/history', keyed: false, bodyBytes: 0 },
  { service: 'gallery', method: 'PUT', path: '/photos/1', keyed: false, bodyBytes: 100_000 }
]

const isKamisori = process.argv.includes('--kamisori')
const isJson = process.argv.includes('--json')
const timelineFile = process.argv.find(flag => flag.startsWith('--timeline='))?.slice('--timeline='.length)

async function applyFile (platform: string, file: string): Promise<AcceptedEdit> {
  const tool = fileURLToPath(new URL('../../src/bin/tool.js', import.meta.url))
  const { stdout } = await promisify(execFile)(process.execPath, [tool, 'apply', file, `--platform=${platform}`, '--json'])
  return JSON.parse(stdout) as AcceptedEdit
}

/** Edits the first service's first deadline again and again; each edit is a new version. */
async function editRepeatedly (platform: string, service: string): Promise<AcceptedEdit[]> {
  const folder = await mkdtemp(join(tmpdir(), 'comfreyspoke-demo-'))
  const text = await readFile(join(ROOT, 'examples', `${service}.yaml`), 'utf8')
  const edits: AcceptedEdit[] = []
  for (let number = 1; number <= EDITS; number += 1) {
    const file = join(folder, `${service}-${number}.yaml`)
    await writeFile(file, text.replace('deadlineMs: 1000', `deadlineMs: ${1000 + number}`))
    edits.push(await applyFile(platform, file))
    await delay(EDIT_INTERVAL_MS)
  }
  return edits
}

async function runDemo (placement: Placement, processes: Processes): Promise<boolean> {
  const { layout, hosts } = placement
  const platform = await processes.startPlatform()
  for (const host of hosts) processes.startNode(host)
  for (const host of hosts) processes.startTarget(host)
  // Services that others need come last in the layout and are applied first.
  for (const { service } of [...layout.services].reverse()) await applyFile(platform, join(ROOT, 'examples', `${service}.yaml`))
  await processes.awaitReady(hosts, READY_LIMIT_MS)
  await delay(SETTLE_MS)

  const load = new AbortController()
  const doomed = hosts.at(-1) as HostLayout
  const shot = hosts[1] as HostLayout
  const callers = hosts.slice(0, 4).filter(host => host !== shot && host !== doomed)
  const kinds = isKamisori ? KAMISORI_CALLS : MANDAP_CALLS
  const sending = callers.map(async host => await sendCalls(() => formatAddress(host, 'caller'), kinds, CALL_INTERVAL_MS, load.signal))
  const before = await sumLinkBytes(hosts)
  const editing = editRepeatedly(platform, layout.services[0]?.service ?? '')
  await delay(EDITS * EDIT_INTERVAL_MS / 2)
  processes.signal(`node ${doomed.host}`, 'SIGKILL')
  await delay(EDIT_INTERVAL_MS)
  processes.signal(`target ${shot.host}`, 'SIGKILL')
  const edits = await editing
  await delay(SETTLE_MS)
  load.abort()
  const results = (await Promise.all(sending)).flat()
  return await report(placement, { results, edits, before, alive: hosts.filter(host => host !== doomed) })
}

interface Outcome { results: CallResult[], edits: AcceptedEdit[], before: { zone: number, region: number, platform: number }, alive: HostLayout[] }

async function report ({ layout, hosts }: Placement, { results, edits, before, alive }: Outcome): Promise<boolean> {
  const rings = await collectEvents(alive)
  if (timelineFile !== undefined) await writeFile(timelineFile, formatHtmlPage(mergeEvents(rings)))
  const convergence = measureConvergence(edits, rings)
  const after = await sumLinkBytes(alive)
  const runs = await collectRuns(hosts)
  const count = (verdict: CallResult['verdict']): number => results.filter(one => one.verdict === verdict).length
  const untrue = results.filter(one => one.key !== undefined && one.verdict === 'not-run' && runs.has(one.key)).length
  const rows: Record<string, number> = {
    'calls sent': results.length,
    'answered whole': count('ran'),
    'refused as not run': count('not-run'),
    'may have run': count('may-have-run'),
    lost: count('lost'),
    'wrong or cut answers': count('wrong'),
    doubled: [...runs.values()].filter(times => times > 1).length,
    'untrue verdicts': untrue,
    'edits accepted': edits.length,
    'convergence p50 ms': convergence.p50,
    'convergence p99 ms': convergence.p99,
    'convergence max ms': convergence.max,
    'edits missing on a node': convergence.missing,
    'versions reverted': convergence.reverted,
    'control bytes between zones': after.zone - before.zone,
    'control bytes between regions': after.region - before.region,
    'platform bytes between regions': after.platform - before.platform
  }
  process.stdout.write(isJson ? `${JSON.stringify(rows)}\n` : formatTable(`${layout.name}: ${hosts.length} nodes, ${hosts.length} targets`, rows))
  const broken = ['lost', 'wrong or cut answers', 'doubled', 'untrue verdicts', 'edits missing on a node', 'versions reverted']
  return broken.every(name => rows[name] === 0)
}

function formatTable (title: string, rows: Record<string, number>): string {
  const width = Math.max(...Object.keys(rows).map(name => name.length))
  return `${title}\n${Object.entries(rows).map(([name, value]) => `  ${name.padEnd(width)}  ${String(value).padStart(10)}`).join('\n')}\n`
}

const placement = placeHosts(isKamisori ? KAMISORI : MANDAP, await findBlock())
const processes = new Processes(placement)
try {
  const kept = await runDemo(placement, processes)
  process.exitCode = kept ? 0 : 1
} finally {
  await processes.stopAll()
}
process.exit()
