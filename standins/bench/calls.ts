/**
 * `bench calls`: measures the latency that two nodes add to a call, compared with direct calls to the same
 * target in the same run, in chains of 1 to 6 calls; the calls per second and the processor time of one node;
 * and the goodput under overload.
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
import { compareVariants, runClosedLoop, runOpenLoop } from './load.js'
import type { LoadOutcome } from './load.js'

const LAYOUT: Layout = {
  name: 'bench',
  regions: [{ region: 'r', zones: ['a'] }],
  platformRegion: 'r',
  services: [
    { service: 'left', targets: 1, serviceMs: 0 },
    { service: 'right', targets: 1, serviceMs: 0 },
    { service: 'busy', targets: 1, serviceMs: 20 }
  ],
  zoneDelayMs: 0,
  regionDelayMs: 0
}

const CHAIN_DEPTHS = [1, 3, 6]
const ROUNDS = 3
const ROUND_SECONDS = 1
const OPEN_LOOP_CALLS_PER_SECOND = 300
/** A process that has just started runs unoptimized code, which takes several times as long. */
const WARM_UP = { callers: 32, seconds: 4 }
const READY_TIMEOUT_MS = 60_000
const BUSY_WORKERS = 6
/** The capacity of `busy`: 6 workers at 20 ms per call. */
const BUSY_CAPACITY_CALLS_PER_SECOND = 300
const OVERLOAD_SECONDS = 3
const UNREACHED_LIMIT = 10_000
/** The unit of the processor times in `/proc/PID/stat`: one clock tick of the kernel. */
const CLOCK_TICK_MS = 10

interface BenchDeployment { processes: Processes, left: HostLayout, right: HostLayout, busy: HostLayout, folder: string }

type Row = Record<string, number | string>

async function applyDocument ({ processes, folder }: BenchDeployment, service: string, fields: Record<string, unknown>): Promise<void> {
  const file = join(folder, `${service}.yaml`)
  const routes = {
    chain: { methods: ['GET'], path: '/chain', kind: 'idempotent', deadlineMs: 10_000 },
    work: { methods: ['GET'], path: '/work', kind: 'idempotent', deadlineMs: 200 }
  }
  await writeFile(file, JSON.stringify({ service, routes, ...fields }))
  const tool = fileURLToPath(new URL('../../src/bin/tool.js', import.meta.url))
  await promisify(execFile)(process.execPath, [tool, 'apply', file, `--platform=${processes.platform}`, '--json'])
}

async function startDeployment (): Promise<BenchDeployment> {
  const placement = placeHosts(LAYOUT, await findBlock())
  const [left, right, busy] = placement.hosts as [HostLayout, HostLayout, HostLayout]
  const processes = new Processes(placement)
  const deployment = { processes, left, right, busy, folder: await mkdtemp(join(tmpdir(), 'comfreyspoke-bench-')) }
  await processes.startPlatform()
  for (const host of placement.hosts) processes.startNode(host)
  processes.startTarget(left, {
    slots: UNREACHED_LIMIT, next: { service: 'right', caller: formatAddress(left, 'caller'), address: formatAddress(right, 'target') }
  })
  processes.startTarget(right, {
    slots: UNREACHED_LIMIT, next: { service: 'left', caller: formatAddress(right, 'caller'), address: formatAddress(left, 'target') }
  })
  processes.startTarget(busy, { slots: UNREACHED_LIMIT, workers: BUSY_WORKERS })
  for (const service of ['left', 'right', 'busy']) await applyDocument(deployment, service, { limits: { slots: 200, connections: 200, queue: 200 } })
  await processes.awaitReady(placement.hosts, READY_TIMEOUT_MS)
  await delay(3_000)
  return deployment
}

function computePercentileMs ({ histogram }: LoadOutcome, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1000
}

function makeLatencyRow (loop: string, depth: number, { direct, node }: Record<'direct' | 'node', LoadOutcome>): Row {
  const row: Row = { loop, depth, calls: node.good, failed: node.failed + direct.failed }
  for (const percentile of [50, 99]) {
    row[`direct p${percentile} ms`] = computePercentileMs(direct, percentile)
    row[`node p${percentile} ms`] = computePercentileMs(node, percentile)
    row[`added p${percentile} ms`] = computePercentileMs(node, percentile) - computePercentileMs(direct, percentile)
  }
  return row
}

async function runWarmUp ({ left, right }: BenchDeployment): Promise<void> {
  const { callers, seconds } = WARM_UP
  await Promise.all([
    runClosedLoop({ address: formatAddress(left, 'caller'), service: 'right', path: '/chain/2/node', seconds }, callers),
    runClosedLoop({ address: formatAddress(right, 'target'), service: 'right', path: '/chain/2/direct', seconds }, callers)
  ])
}

/** Sends the calls for `right` to the node on the host of `left`, so that each call passes two nodes. */
async function measureLatency ({ left, right }: BenchDeployment): Promise<Row[]> {
  const rows: Row[] = []
  for (const depth of CHAIN_DEPTHS) {
    const makeLoadOptions = (variant: 'direct' | 'node'): Parameters<typeof runClosedLoop>[0] =>
      ({
        address: formatAddress(variant === 'node' ? left : right, variant === 'node' ? 'caller' : 'target'),
        service: 'right',
        path: `/chain/${depth}/${variant}`,
        seconds: ROUND_SECONDS
      })
    rows.push(makeLatencyRow('closed, 1 caller', depth,
      await compareVariants(ROUNDS, async variant => await runClosedLoop(makeLoadOptions(variant), 1))))
    const callsPerSecond = OPEN_LOOP_CALLS_PER_SECOND / depth
    rows.push(makeLatencyRow(`open, ${callsPerSecond}/s`, depth,
      await compareVariants(ROUNDS, async variant => await runOpenLoop(makeLoadOptions(variant), callsPerSecond))))
  }
  return rows
}

async function readProcessorMs (pid: number | undefined): Promise<number> {
  const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS
}

async function measureProcessorTime ({ processes, left, right }: BenchDeployment): Promise<Row[]> {
  const rows: Row[] = []
  for (const callers of [1, 32]) {
    const pids = [`node ${left.host}`, `node ${right.host}`].map(name => processes.getPid(name))
    const msBefore = await Promise.all(pids.map(readProcessorMs))
    const outcome = await runClosedLoop({ address: formatAddress(left, 'caller'), service: 'right', path: '/chain/1/node', seconds: 4 }, callers)
    const msAfter = await Promise.all(pids.map(readProcessorMs))
    const computeMsPerCall = (index: number): number => ((msAfter[index] ?? 0) - (msBefore[index] ?? 0)) / outcome.good
    const callsPerSecond = outcome.good / outcome.seconds
    rows.push({
      callers,
      'calls/s': callsPerSecond,
      'first node ms/call': computeMsPerCall(0),
      'last node ms/call': computeMsPerCall(1),
      failed: outcome.failed
    })
  }
  return rows
}

const OVERLOAD_PROTECTIONS: Record<string, Record<string, unknown>> = {
  'shedding and budget': { limits: { slots: BUSY_WORKERS, queue: 12 } },
  neither: {
    limits: { slots: UNREACHED_LIMIT, connections: UNREACHED_LIMIT, queue: UNREACHED_LIMIT },
    retries: { attempts: 3, budgetPercent: 100, minPerSecond: 1000 }
  }
}

async function measureGoodput (deployment: BenchDeployment): Promise<Row[]> {
  const rows: Row[] = []
  for (const [protection, fields] of Object.entries(OVERLOAD_PROTECTIONS)) {
    await applyDocument(deployment, 'busy', fields)
    await delay(2_000)
    for (const factor of [1, 2, 4]) {
      const options = { address: formatAddress(deployment.left, 'caller'), service: 'busy', path: '/work', seconds: OVERLOAD_SECONDS }
      const outcome = await runOpenLoop(options, BUSY_CAPACITY_CALLS_PER_SECOND * factor)
      rows.push({
        guards: protection,
        factor,
        'goodput/s': outcome.good / OVERLOAD_SECONDS,
        failures: JSON.stringify(outcome.codes),
        'p99 ms': computePercentileMs(outcome, 99)
      })
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

const PARTS: Record<string, (deployment: BenchDeployment) => Promise<Row[]>> = {
  latency: measureLatency,
  processor: measureProcessorTime,
  goodput: measureGoodput
}

/** Runs the parts that the arguments name, or all parts when the arguments name none. */
export async function runCalls (args: readonly string[]): Promise<Record<string, unknown>> {
  const deployment = await startDeployment()
  try {
    const loadAverage = loadavg()[0]
    process.stdout.write(`load average at the start ${loadAverage}\n`)
    const result: Record<string, unknown> = { load: loadAverage }
    const chosenParts = Object.keys(PARTS).filter(part => args.includes(part))
    await runWarmUp(deployment)
    for (const part of chosenParts.length > 0 ? chosenParts : Object.keys(PARTS)) {
      const rows = await PARTS[part]?.(deployment) ?? []
      result[part] = rows
      printRows(part, rows)
    }
    return result
  } finally {
    await deployment.processes.stopAll()
  }
}
