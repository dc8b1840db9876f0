/**
 * `bench cold [--nodes N] [--rate CALLS] [--profile FOLDER] [PROGRAM…]`: measures the processor time of freshly started nodes, since
 * a process that is replaced often runs mostly unoptimized code. Each program, by default target/node.cjs, runs as a fleet of its own,
 * one after the other, with the stand-in of the platform's store, targets and callers in this process. The rate is that of calls a
 * second at each node.
 */
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { availableParallelism } from 'node:os'
import { setTimeout as delay } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { Agent, request } from 'undici'
import { makeNodeAddresses, spawnPlatformNode } from '../layout/platformnode.js'
import type { NodeAddresses } from '../layout/platformnode.js'
import { findBlock } from '../layout/processes.js'
import { ObjectsServer } from '../objects/server.js'

const ZONES = ['a', 'b', 'c', 'd', 'e', 'f'] as const
const ZONES_PER_REGION = 2
const SERVICES = ['left', 'right'] as const
const DEFAULT_NODES = '12'
const SERVICE_MS = 40
const HEARTBEAT_INTERVAL_MS = 1_000
const READY_TIMEOUT_MS = 30_000
/** Time for the nodes to learn of all targets. */
const SETTLE_MS = 10_000
/** Calls a second at each node. */
const DEFAULT_RATE = '30'
const CALL_SECONDS = 20
const SLOTS = 12
const CLOCK_TICK_MS = 10
const GRACE_MS = 4_000

interface FleetNode { host: string, service: string, addresses: NodeAddresses, process: ChildProcess, target: Server }

interface ColdOptions { nodes: number, rate: number, profileFolder: string | undefined }

interface ColdRow { program: string, nodes: number, calls: number, failed: number, 'start ms': number, 'idle ms/s': number, 'ms/call': number, 'resident MB': number }

const COLUMNS = ['name', 'host', 'pathPrefix', 'kind', 'timeout', 'targetLatency', 'priority', 'service', 'maxAttempts']

function makeConfiguration (): unknown {
  return {
    version: 1,
    routes: { columns: COLUMNS, rows: SERVICES.map((service, index) => [`r-${service}`, `${service}.example`, '/', 'safe', '4s', '600ms', index, service, 2]) },
    services: { columns: ['name', 'healthPath', 'maxConns'], rows: SERVICES.map(service => [service, '/healthz', 130]) },
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeout: '5s', idleTimeout: '10s' }
  }
}

function startTarget (address: string): Server {
  const server = createServer((message, response) => {
    message.resume()
    setTimeout(() => {
      response.writeHead(200, { 'x-attempt-id': String(message.headers['x-attempt-id']), 'x-response-signature': 's', 'content-length': 1_500 })
      response.end(Buffer.alloc(1_500, 'x'))
    }, SERVICE_MS)
  })
  const [host, port] = address.split(':')
  return server.listen(Number(port), host)
}

function readProcessorMs ({ pid }: ChildProcess): number {
  const fields = readFileSync(`/proc/${pid ?? 0}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS
}

function readResidentMb ({ pid }: ChildProcess): number {
  return Number(/VmRSS:\s+([0-9]+)/.exec(readFileSync(`/proc/${pid ?? 0}/status`, 'utf8'))?.[1] ?? NaN) / 1024
}

function startNode (program: string, index: number, block: number, store: string, { profileFolder }: ColdOptions): FleetNode {
  const host = `h${index}`
  const service = SERVICES[index % SERVICES.length] ?? ''
  const zoneIndex = Math.floor(index / SERVICES.length) % ZONES.length
  const zone = ZONES[zoneIndex] ?? ''
  const region = `r-${Math.floor(zoneIndex / ZONES_PER_REGION)}`
  const addresses = makeNodeAddresses(block, index)
  const flags = profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`]
  const child = spawnPlatformNode({
    host, zone, region, service, store, addresses, program, heartbeatMs: HEARTBEAT_INTERVAL_MS, graceMs: GRACE_MS, flags
  })
  return { host, service, addresses, process: child, target: startTarget(addresses.target) }
}

class ColdFleet {
  private readonly agent = new Agent({ connections: 64, pipelining: 1 })
  private readonly callers = new Agent({ connections: 256, pipelining: 0 })
  private heartbeatSequence = 0
  private calls = 0
  private failed = 0

  constructor (private readonly nodes: readonly FleetNode[], private readonly rate: number) {}

  async awaitReady (): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS
    for (const { addresses } of this.nodes) {
      while (!await this.isReady(addresses.ready)) {
        if (Date.now() > deadline) throw new Error(`the node at ${addresses.ready} is not ready`)
        await delay(20)
      }
    }
  }

  async sendHeartbeats (): Promise<void> {
    this.heartbeatSequence += 1
    await Promise.all(this.nodes.map(async ({ host, service, addresses }) => {
      const body = JSON.stringify({
        address: addresses.target, born: 1, info: { service, version: 'v1', zone: 'a', slots: SLOTS }, status: { state: 'ready', seq: this.heartbeatSequence, coldLeft: '0ms' }
      })
      const response = await request(`http://${addresses.control}/-/Instances.Heartbeat/i-${host}`, { method: 'POST', body, dispatcher: this.agent })
      await response.body.dump()
    }))
  }

  async runCalls (): Promise<{ calls: number, failed: number }> {
    const intervalMs = 1_000 / (this.rate * this.nodes.length)
    const startedAt = performance.now()
    const pending: Array<Promise<void>> = []
    while (performance.now() - startedAt < CALL_SECONDS * 1_000) {
      while (this.calls * intervalMs < performance.now() - startedAt) pending.push(this.call())
      await delay(2)
    }
    await Promise.all(pending)
    return { calls: this.calls, failed: this.failed }
  }

  private async call (): Promise<void> {
    this.calls += 1
    const node = this.nodes[this.calls % this.nodes.length]
    const service = SERVICES[Math.floor(Math.random() * SERVICES.length)] ?? ''
    try {
      const response = await request(`http://${node?.addresses.caller ?? ''}/read/${this.calls}`, {
        headers: { host: `${service}.example`, 'x-attempt-id': `a${this.calls}`, 'x-timeout-ms': '3000' }, dispatcher: this.calls % 2 === 0 ? this.callers : this.agent
      })
      await response.body.dump()
      if (response.statusCode !== 200) this.failed += 1
    } catch {
      this.failed += 1
    }
  }

  private async isReady (address: string): Promise<boolean> {
    try {
      const response = await request(`http://${address}/-/readyz`, { dispatcher: this.agent })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }

  async stop (): Promise<void> {
    for (const { process: child, target } of this.nodes) {
      child.kill('SIGTERM')
      target.closeAllConnections()
      target.close()
    }
    await Promise.all(this.nodes.map(async ({ process: child }) => { if (child.exitCode === null && child.signalCode === null) await once(child, 'exit') }))
    await Promise.all([this.agent.destroy(), this.callers.destroy()])
  }
}

function sumProcessorMs (nodes: readonly FleetNode[]): number {
  return nodes.reduce((sum, node) => sum + readProcessorMs(node.process), 0)
}

async function measureProgram (program: string, options: ColdOptions): Promise<ColdRow> {
  const store = new ObjectsServer()
  const address = await store.listen()
  store.writeObject('config', 'main', makeConfiguration())
  const block = await findBlock()
  const nodes = Array.from({ length: options.nodes }, (_, index) => startNode(program, index, block, address, options))
  const fleet = new ColdFleet(nodes, options.rate)
  let heartbeats: NodeJS.Timeout | undefined
  try {
    await fleet.awaitReady()
    const startMs = sumProcessorMs(nodes)
    heartbeats = setInterval(() => { void fleet.sendHeartbeats().catch(() => {}) }, HEARTBEAT_INTERVAL_MS)
    await delay(SETTLE_MS)
    const settledMs = sumProcessorMs(nodes)
    const { calls, failed } = await fleet.runCalls()
    const callsMs = sumProcessorMs(nodes) - settledMs
    const residentMb = nodes.reduce((sum, node) => sum + readResidentMb(node.process), 0)
    return {
      program,
      nodes: nodes.length,
      calls,
      failed,
      'start ms': Math.round(startMs / nodes.length),
      'idle ms/s': Math.round((settledMs - startMs) / nodes.length / (SETTLE_MS / 1_000) * 10) / 10,
      'ms/call': Math.round(callsMs / calls * 100) / 100,
      'resident MB': Math.round(residentMb / nodes.length)
    }
  } finally {
    clearInterval(heartbeats)
    await fleet.stop()
    await store.close()
  }
}

export async function runCold (args: readonly string[]): Promise<ColdRow[]> {
  const { values, positionals } = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: { nodes: { type: 'string', default: DEFAULT_NODES }, rate: { type: 'string', default: DEFAULT_RATE }, profile: { type: 'string' } }
  })
  const options: ColdOptions = { nodes: Number(values.nodes), rate: Number(values.rate), profileFolder: values.profile }
  process.stdout.write(`${availableParallelism()} processors\n`)
  const rows: ColdRow[] = []
  for (const program of positionals.length > 0 ? positionals : ['target/node.cjs']) {
    const row = await measureProgram(program, options)
    rows.push(row)
    process.stdout.write(`${Object.entries(row).map(([name, value]) => `${name}: ${value}`).join(', ')}\n`)
  }
  return rows
}
