/**
 * `bench convergence`: measures the time from the acceptance of an edit until it is in force on every node, and the
 * bytes of control traffic, at several fleet sizes, idle and under edits.
 */
import { setTimeout as delay } from 'node:timers/promises'
import type { Convergence } from '../demo/measure.js'
import { makeBenchDocument } from './document.js'
import { Fleet } from './fleet.js'
import type { ResourceUsage, Traffic } from './fleet.js'

const DEFAULT_NODE_COUNTS = [14, 50, 100, 200]
const EDITED_SERVICE = 'counter-desk'
const IDLE_PHASE_MS = 10_000
const SINGLE_EDIT_COUNT = 10
const SINGLE_EDIT_INTERVAL_MS = 500
const LOAD_EDIT_COUNT = 80
/** One edit every 125 ms is ten times the 0.8 edits per second of the size to design for. */
const LOAD_EDIT_INTERVAL_MS = 125
const CONVERGENCE_TIMEOUT_MS = 30_000

interface Phase { seconds: number, traffic: Traffic, usage: ResourceUsage }

export interface ConvergenceRow {
  nodes: number
  single: Convergence
  load: Convergence
  idleRegionBytesPerSecond: number
  idleZoneBytesPerSecond: number
  idlePlatformBytesPerSecond: number
  idlePlatformCallsPerSecond: number
  idleCpuPercentPerNode: number
  regionBytesPerEdit: number
  zoneBytesPerEdit: number
  cpuMsPerEditAndNode: number
  residentMbPerNode: number
}

async function measurePhase (fleet: Fleet, run: () => Promise<void>): Promise<Phase> {
  const [trafficBefore, usageBefore, startedAt] = [await fleet.readTraffic(), await fleet.readUsage(), Date.now()]
  await run()
  const [traffic, usage, endedAt] = [await fleet.readTraffic(), await fleet.readUsage(), Date.now()]
  return {
    seconds: (endedAt - startedAt) / 1000,
    traffic: {
      zone: traffic.zone - trafficBefore.zone,
      region: traffic.region - trafficBefore.region,
      platform: traffic.platform - trafficBefore.platform,
      calls: { all: sumCalls(traffic) - sumCalls(trafficBefore) }
    },
    usage: { cpuSeconds: usage.cpuSeconds - usageBefore.cpuSeconds, residentBytes: usage.residentBytes }
  }
}

function sumCalls ({ calls }: Traffic): number {
  return Object.values(calls).reduce((sum, count) => sum + count, 0)
}

async function editRepeatedly (fleet: Fleet, firstEdit: number, editCount: number, intervalMs: number): Promise<Convergence> {
  const accepted = []
  for (let edit = firstEdit; edit < firstEdit + editCount; edit += 1) {
    accepted.push(await fleet.applyEdit(makeBenchDocument(EDITED_SERVICE, edit)))
    await delay(intervalMs)
  }
  return await fleet.awaitConvergence(accepted, CONVERGENCE_TIMEOUT_MS)
}

async function measureSize (nodes: number): Promise<ConvergenceRow> {
  const fleet = await Fleet.start(nodes)
  try {
    await editRepeatedly(fleet, 0, 1, 0)
    await delay(IDLE_PHASE_MS / 2)
    const idle = await measurePhase(fleet, async () => { await delay(IDLE_PHASE_MS) })
    let single: Convergence | undefined
    let load: Convergence | undefined
    await measurePhase(fleet, async () => { single = await editRepeatedly(fleet, 1, SINGLE_EDIT_COUNT, SINGLE_EDIT_INTERVAL_MS) })
    const loaded = await measurePhase(fleet, async () => {
      load = await editRepeatedly(fleet, 1 + SINGLE_EDIT_COUNT, LOAD_EDIT_COUNT, LOAD_EDIT_INTERVAL_MS)
    })
    if (single === undefined || load === undefined) throw new Error('a measurement phase returned no convergence')
    return makeRow(fleet.placement.hosts.length, { single, load, idle, loaded })
  } finally {
    await fleet.stop()
  }
}

interface Measurements { single: Convergence, load: Convergence, idle: Phase, loaded: Phase }

function makeRow (nodes: number, { single, load, idle, loaded }: Measurements): ConvergenceRow {
  const perSecond = (bytes: number): number => Math.round(bytes / idle.seconds)
  const perEdit = (kind: 'zone' | 'region'): number =>
    Math.round((loaded.traffic[kind] - idle.traffic[kind] / idle.seconds * loaded.seconds) / LOAD_EDIT_COUNT)
  const editCpuSeconds = loaded.usage.cpuSeconds - idle.usage.cpuSeconds / idle.seconds * loaded.seconds
  return {
    nodes,
    single,
    load,
    idleRegionBytesPerSecond: perSecond(idle.traffic.region),
    idleZoneBytesPerSecond: perSecond(idle.traffic.zone),
    idlePlatformBytesPerSecond: perSecond(idle.traffic.platform),
    idlePlatformCallsPerSecond: (idle.traffic.calls.all ?? 0) / idle.seconds,
    idleCpuPercentPerNode: 100 * idle.usage.cpuSeconds / idle.seconds / nodes,
    regionBytesPerEdit: perEdit('region'),
    zoneBytesPerEdit: perEdit('zone'),
    cpuMsPerEditAndNode: 1000 * editCpuSeconds / LOAD_EDIT_COUNT / nodes,
    residentMbPerNode: loaded.usage.residentBytes / nodes / 1024 / 1024
  }
}

export async function runConvergence (args: readonly string[]): Promise<ConvergenceRow[]> {
  const nodeCounts = args.length === 0 ? DEFAULT_NODE_COUNTS : args.map(Number)
  const rows: ConvergenceRow[] = []
  for (const nodeCount of nodeCounts) {
    const row = await measureSize(nodeCount)
    rows.push(row)
    process.stdout.write(`${JSON.stringify(row)}\n`)
  }
  return rows
}
