/**
 * The demo: runs one deployment at its real size in separate processes. It applies documents, sends calls
 * from several zones, edits a document at the same time, kills a node and a target, and prints the outcome.
 * `--kamisori` selects the other deployment, `--json` prints JSON, `--timeline=FILE` writes the time line
 * of all nodes as an HTML page. Exits with 1 when a call was lost, ran more than once, got a wrong response or a
 * false verdict, or when an edit is missing on a node or a version was reverted.
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
import { collectLinkBytes, collectRuns, collectTimelines, computeTraffic, measureConvergence } from './measure.js'
import type { LinkBytes } from '../link/dialer.js'
import type { AcceptedEdit } from './measure.js'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const READY_TIMEOUT_MS = 30_000
const CALL_INTERVAL_MS = 10
const EDIT_COUNT = 6
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

/** Changes the first deadline of the service's example document once per edit; each edit is a new version. */
async function editRepeatedly (platform: string, service: string): Promise<AcceptedEdit[]> {
  const folder = await mkdtemp(join(tmpdir(), 'comfreyspoke-demo-'))
  const yaml = await readFile(join(ROOT, 'examples', `${service}.yaml`), 'utf8')
  const edits: AcceptedEdit[] = []
  for (let edit = 1; edit <= EDIT_COUNT; edit += 1) {
    const file = join(folder, `${service}-${edit}.yaml`)
    await writeFile(file, yaml.replace('deadlineMs: 1000', `deadlineMs: ${1000 + edit}`))
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
  // Services that other services refer to come last in the layout and are applied first.
  for (const { service } of [...layout.services].reverse()) await applyFile(platform, join(ROOT, 'examples', `${service}.yaml`))
  await processes.awaitReady(hosts, READY_TIMEOUT_MS)
  await delay(SETTLE_MS)

  const loadController = new AbortController()
  const killedNodeHost = hosts.at(-1) as HostLayout
  const killedTargetHost = hosts[1] as HostLayout
  const callerHosts = hosts.slice(0, 4).filter(host => host !== killedTargetHost && host !== killedNodeHost)
  const callKinds = isKamisori ? KAMISORI_CALLS : MANDAP_CALLS
  const pendingResults = callerHosts.map(async host =>
    await sendCalls(() => formatAddress(host, 'caller'), callKinds, CALL_INTERVAL_MS, loadController.signal))
  const bytesBefore = await collectLinkBytes(hosts)
  const pendingEdits = editRepeatedly(platform, layout.services[0]?.service ?? '')
  await delay(EDIT_COUNT * EDIT_INTERVAL_MS / 2)
  processes.signal(`node ${killedNodeHost.host}`, 'SIGKILL')
  await delay(EDIT_INTERVAL_MS)
  processes.signal(`target ${killedTargetHost.host}`, 'SIGKILL')
  const edits = await pendingEdits
  await delay(SETTLE_MS)
  loadController.abort()
  const results = (await Promise.all(pendingResults)).flat()
  return await reportOutcome(placement, { results, edits, bytesBefore, liveHosts: hosts.filter(host => host !== killedNodeHost) })
}

interface DemoOutcome {
  results: CallResult[]
  edits: AcceptedEdit[]
  bytesBefore: ReadonlyMap<string, LinkBytes>
  liveHosts: HostLayout[]
}

async function reportOutcome ({ layout, hosts }: Placement, { results, edits, bytesBefore, liveHosts }: DemoOutcome): Promise<boolean> {
  const timelines = await collectTimelines(liveHosts)
  if (timelineFile !== undefined) await writeFile(timelineFile, formatHtmlPage(mergeEvents(timelines)))
  const convergence = measureConvergence(edits, timelines)
  const traffic = computeTraffic(bytesBefore, await collectLinkBytes(liveHosts))
  const runs = await collectRuns(hosts)
  const countVerdict = (verdict: CallResult['verdict']): number => results.filter(result => result.verdict === verdict).length
  const falseVerdicts = results.filter(result => result.key !== undefined && result.verdict === 'not-run' && runs.has(result.key)).length
  const rows: Record<string, number> = {
    'calls sent': results.length,
    'answered whole': countVerdict('ran'),
    'refused as not run': countVerdict('not-run'),
    'may have run': countVerdict('may-have-run'),
    lost: countVerdict('lost'),
    'wrong or cut answers': countVerdict('wrong'),
    doubled: [...runs.values()].filter(times => times > 1).length,
    'untrue verdicts': falseVerdicts,
    'edits accepted': edits.length,
    'convergence p50 ms': convergence.p50,
    'convergence p99 ms': convergence.p99,
    'convergence max ms': convergence.max,
    'edits missing on a node': convergence.missing,
    'versions reverted': convergence.reverted,
    'control bytes between zones': traffic.zone,
    'control bytes between regions': traffic.region,
    'platform bytes between regions': traffic.platform
  }
  process.stdout.write(isJson ? `${JSON.stringify(rows)}\n` : formatTable(`${layout.name}: ${hosts.length} nodes, ${hosts.length} targets`, rows))
  const mustBeZero = ['lost', 'wrong or cut answers', 'doubled', 'untrue verdicts', 'edits missing on a node', 'versions reverted']
  return mustBeZero.every(name => rows[name] === 0)
}

function formatTable (title: string, rows: Record<string, number>): string {
  const nameWidth = Math.max(...Object.keys(rows).map(name => name.length))
  return `${title}\n${Object.entries(rows).map(([name, value]) => `  ${name.padEnd(nameWidth)}  ${String(value).padStart(10)}`).join('\n')}\n`
}

const placement = placeHosts(isKamisori ? KAMISORI : MANDAP, await findBlock())
const processes = new Processes(placement)
try {
  const passed = await runDemo(placement, processes)
  process.exitCode = passed ? 0 : 1
} finally {
  await processes.stopAll()
}
process.exit()
