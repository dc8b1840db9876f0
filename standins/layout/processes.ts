/**
 * Starts and ends the processes of a placement. Only processes that this class started are ended, by id.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import type { TargetOptions } from '../target/server.js'
import type { HostLayout, Placement } from './schema.js'
import { formatAddress, listNodeFlags, PORTS } from './schema.js'

/** Processes run from the build, also when a test loads this file from its source. */
const BUILD = fileURLToPath(new URL(import.meta.url.includes('/dist/') ? '../../' : '../../dist/', import.meta.url))
const FIRST_BLOCK = 20
const BLOCKS = 110
const READY_CHECK_MS = 50

/** A block of loopback addresses that nobody listens on; two are taken, the second for links. */
export async function findBlock (): Promise<number> {
  for (let attempt = 0; attempt < BLOCKS; attempt += 1) {
    const block = FIRST_BLOCK + 2 * ((process.pid + attempt) % BLOCKS)
    if (await isFree(`127.${block}.255.254`)) return block
  }
  throw new Error('no free block of loopback addresses')
}

/** The listener stays open for the life of this process, so that another run takes another block. */
async function isFree (host: string): Promise<boolean> {
  const server = createServer()
  const result = Promise.race([once(server, 'listening').then(() => true), once(server, 'error').then(() => false)])
  server.listen(PORTS.admin, host)
  server.unref()
  return await result.catch(() => false)
}

export class Processes {
  private readonly children = new Map<string, ChildProcess>()
  private platformUrl = ''

  constructor (private readonly placement: Placement) {}

  get platform (): string {
    return this.platformUrl
  }

  async startPlatform (): Promise<string> {
    const child = this.spawn('platform', 'standins/platform/main.js', [], 'pipe')
    if (child.stdout === null) throw new Error('the platform has no output')
    const exit = once(child, 'exit').then(() => { throw new Error('the platform stand-in ended at its start') })
    const [line] = await Promise.race([once(createInterface({ input: child.stdout }), 'line'), exit]) as [string]
    this.platformUrl = line
    return line
  }

  /** `more` has further flags for this node alone. */
  startNode (host: HostLayout, more: readonly string[] = []): void {
    const flags = [...listNodeFlags(host, this.platformUrl), ...more]
    this.spawn(`node ${host.host}`, 'standins/node/main.js', [JSON.stringify(this.placement), String(host.index), ...flags])
  }

  /** Several nodes in one process, each with an announced target. */
  startNodes (indexes: readonly number[]): void {
    this.spawn(`nodes ${indexes[0] ?? 0}`, 'standins/node/many.js', [JSON.stringify(this.placement), indexes.join(','), this.platformUrl])
  }

  startTarget (host: HostLayout, change: Partial<TargetOptions> = {}): void {
    const options: TargetOptions = {
      service: host.service,
      target: `t-${host.index}`,
      address: formatAddress(host, 'target'),
      node: formatAddress(host, 'local'),
      serviceMs: host.serviceMs,
      ...change
    }
    this.spawn(`target ${host.host}`, 'standins/target/main.js', [JSON.stringify(options)])
  }

  async awaitReady (hosts: readonly HostLayout[], limitMs: number): Promise<void> {
    const endsAt = Date.now() + limitMs
    for (const host of hosts) {
      while (!await isReady(host)) {
        if (Date.now() > endsAt) throw new Error(`${host.host} is not ready after ${limitMs} ms`)
        await delay(READY_CHECK_MS)
      }
    }
  }

  signal (name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal)
  }

  getPid (name: string): number | undefined {
    return this.children.get(name)?.pid
  }

  async awaitExit (name: string): Promise<number | null> {
    const child = this.children.get(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return child?.exitCode ?? null
    const [code] = await once(child, 'exit') as [number | null]
    return code
  }

  /** To be called also when a start failed: the processes do not end by themselves. */
  async stopAll (): Promise<void> {
    const running = [...this.children.values()].filter(child => child.exitCode === null && child.signalCode === null)
    const exits = running.map(async child => { await once(child, 'exit') })
    for (const child of running) child.kill('SIGKILL')
    await Promise.all(exits)
  }

  private spawn (name: string, script: string, args: string[], stdout: 'pipe' | 'ignore' = 'ignore'): ChildProcess {
    const child = spawn(process.execPath, [`${BUILD}${script}`, ...args], { stdio: ['ignore', stdout, 'inherit'] })
    this.children.set(name, child)
    return child
  }
}

async function isReady (host: HostLayout): Promise<boolean> {
  try {
    const answer = await request(`http://${formatAddress(host, 'admin')}/readyz`)
    await answer.body.dump()
    return answer.statusCode === 200
  } catch {
    return false
  }
}
