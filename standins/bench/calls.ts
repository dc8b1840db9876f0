/**
 * The path of calls: the latency that two nodes add to a call against the same target called directly
 * in the same run, 1 to 6 deep; calls and processor time of one node; goodput under overload.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { loadavg, tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as delay } from 'node:timers/promises'
import { promisify } from 'node:util'
import { findBlock, Processes } from '../layout/processes.js'
import { formatAddress, placeHosts } from '../layout/schema.js'
import type { HostLayout, Layout } from '../layout/schema.js'
import { compareWays, runClosed, runOpen } from './load.js'
import type { Outcome } from './load.js'

const LAYOUT: Layout = {
  name: 'bench',
  regions: [{ region: 'r', zones: ['a'] }],
  platformRegion: 'r',
  services: [{ service: 'left', targets: 1, serviceMs: 0 }, { service: 'right', targets: 1, serviceMs: 0 }, { service: 'busy', targets: 1, serviceMs: 20 }],
  zoneDelayMs: 0,
  regionDelayMs: 0
}

const DEPTHS = [1, 3, 6]
const ROUNDS = 3
const SECONDS = 1
const OPEN_PER_SECOND = 300
/** Processes that have just started run unoptimized code, which takes several times as long. */
const WARM_UP = { callers: 32, seconds: 4 }
const READY_LIMIT_MS = 60_000
const WORKERS = 6
/** Of `busy`: 6 workers at 20 ms. */
const CAPACITY_PER_SECOND = 300
const OVERLOAD_SECONDS = 3
const SLOTS_OPEN = 10_000
/** A clock tick of the kernel's processor accounting. */
const TICK_MS = 10

interface Bench { processes: Processes, left: HostLayout, right: HostLayout, busy: HostLayout, folder: string }

type Row = Record<string, number | string>

async function applyDocument ({ processes, folder }: Bench, service: string, change: Record<string, unknown>): Promise<void> {
  const file = join(folder, `${service}.yaml`)
  const routes = {
    chain: { methods: ['GET'], path: '/chain', kind: 'idempotent', deadlineMs: 10_000 },
    work: { methods: ['GET'], path: '/work', kind: 'idempotent', deadlineMs: 200 }
  }
  await writeFile(file, JSON.stringify({ service, routes, ...change }))
  const tool = fileURLToPath(new URL('../../src/bin/tool.js', import.meta.url))
  await promisify(execFile)(process.execPath, [tool, 'apply', file, `--platform=${processes.platform}`, '--json'])
}

async function startBench (): Promise<Bench> {
  const placement = placeHosts(LAYOUT, await findBlock())
  const [left, right, busy] = placement.hosts as [HostLayout, HostLayout, HostLayout]
  const processes = new Processes(placement)
  const bench = { processes, left, right, busy, folder: await mkdtemp(join(tmpdir(), 'comfreyspoke-bench-')) }
  await processes.startPlatform()
  for (const host of placement.hosts) processes.startNode(host)
  processes.startTarget(left, { slots: SLOTS_OPEN, next: { service: 'right', caller: formatAddress(left, 'caller'), address: formatAddress(right, 'target') } })
  processes.startTarget(right, { slots: SLOTS_OPEN, next: { service: 'left', caller: formatAddress(right, 'caller'), address: formatAddress(left, 'target') } })
  processes.startTarget(busy, { slots: SLOTS_OPEN, workers: WORKERS })
  for (const service of ['left', 'right', 'busy']) await applyDocument(bench, service, { limits: { slots: 200, connections: 200, queue: 200 } })
  await processes.awaitReady(placement.hosts, READY_LIMIT_MS)
  await delay(3_000)
  return bench
}

function computePercentile ({ histogram }: Outcome, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1000
}

function makeLatencyRow (loop: string, depth: number, { direct, node }: Record<'direct' | 'node', Outcome>): Row {
  const row: Row = { loop, depth, calls: node.good, failed: node.failed + direct.failed }
  for (const percentile of [50, 99]) {
    row[`direct p${percentile} ms`] = computePercentile(direct, percentile)
    row[`node p${percentile} ms`] = computePercentile(node, percentile)
    row[`added p${percentile} ms`] = computePercentile(node, percentile) - computePercentile(direct, percentile)
  }
  return row
}

async function runWarmUp ({ left, right }: Bench): Promise<void> {
  const { callers, seconds } = WARM_UP
  await Promise.all([
    runClosed({ address: formatAddress(left, 'caller'), service: 'right', path: '/chain/2/node', seconds }, callers),
    runClosed({ address: formatAddress(right, 'target'), service: 'right', path: '/chain/2/direct', seconds }, callers)
  ])
}

/** The caller asks the node beside `left` for `right`, so each call passes two nodes. */
async function measureLatency ({ left, right }: Bench): Promise<Row[]> {
  const rows: Row[] = []
  for (const depth of DEPTHS) {
    const makeLoad = (way: 'direct' | 'node'): Parameters<typeof runClosed>[0] =>
      ({ address: formatAddress(way === 'node' ? left : right, way === 'node' ? 'caller' : 'target'), service: 'right', path: `/chain/${depth}/${way}`, seconds: SECONDS })
    rows.push(makeLatencyRow('closed, 1 caller', depth, await compareWays(ROUNDS, async way => await runClosed(makeLoad(way), 1))))
    const perSecond = OPEN_PER_SECOND / depth
    rows.push(makeLatencyRow(`open, ${perSecond}/s`, depth, await compareWays(ROUNDS, async way => await runOpen(makeLoad(way), perSecond))))
  }
  return rows
}

async function readProcessorMs (pid: number | undefined): Promise<number> {
  const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS
}

async function measureProcessor ({ processes, left, right }: Bench): Promise<Row[]> {
  const rows: Row[] = []
  for (const callers of [1, 32]) {
    const pids = [`node ${left.host}`, `node ${right.host}`].map(name => processes.getPid(name))
    const before = await Promise.all(pids.map(readProcessorMs))
    const outcome = await runClosed({ address: formatAddress(left, 'caller'), service: 'right', path: '/chain/1/node', seconds: 4 }, callers)
    const after = await Promise.all(pids.map(readProcessorMs))
    const computeMs = (index: number): number => ((after[index] ?? 0) - (before[index] ?? 0)) / outcome.good
    const rate = outcome.good / outcome.seconds
    rows.push({ callers, 'calls/s': rate, 'first node ms/call': computeMs(0), 'last node ms/call': computeMs(1), failed: outcome.failed })
  }
  return rows
}

const GUARDS: Record<string, Record<string, unknown>> = {
  'shedding and budget': { limits: { slots: WORKERS, queue: 12 } },
  neither: {
    limits: { slots: SLOTS_OPEN, connections: SLOTS_OPEN, queue: SLOTS_OPEN }, retries: { attempts: 3, budgetPercent: 100, minPerSecond: 1000 }
  }
}

async function measureOverload (bench: Bench): Promise<Row[]> {
  const rows: Row[] = []
  for (const [guards, change] of Object.entries(GUARDS)) {
    await applyDocument(bench, 'busy', change)
    await delay(2_000)
    for (const factor of [1, 2, 4]) {
      const load = { address: formatAddress(bench.left, 'caller'), service: 'busy', path: '/work', seconds: OVERLOAD_SECONDS }
      const outcome = await runOpen(load, CAPACITY_PER_SECOND * factor)
      rows.push({ guards, factor, 'goodput/s': outcome.good / OVERLOAD_SECONDS, failures: JSON.stringify(outcome.codes), 'p99 ms': computePercentile(outcome, 99) })
      await delay(1_500)
    }
  }
  return rows
}

function printRows (title: string, rows: readonly Row[]): void {
  const round = (value: number | string): number | string => typeof value === 'number' ? Math.round(value * 1000) / 1000 : value
  process.stdout.write(`\n${title}\n`)
  for (const row of rows) process.stdout.write(`  ${Object.entries(row).map(([name, value]) => `${name}: ${round(value)}`).join(', ')}\n`)
}

const PARTS: Record<string, (bench: Bench) => Promise<Row[]>> = { latency: measureLatency, processor: measureProcessor, goodput: measureOverload }

/** Names of parts among the arguments run these parts alone. */
export async function runCalls (args: readonly string[]): Promise<Record<string, unknown>> {
  const bench = await startBench()
  try {
    const load = loadavg()[0]
    process.stdout.write(`load average at the start ${load}\n`)
    const result: Record<string, unknown> = { load }
    const chosen = Object.keys(PARTS).filter(part => args.includes(part))
    await runWarmUp(bench)
    for (const part of chosen.length > 0 ? chosen : Object.keys(PARTS)) {
      const rows = await PARTS[part]?.(bench) ?? []
      result[part] = rows
      printRows(part, rows)
    }
    return result
  } finally {
    await bench.processes.stopAll()
  }
}
