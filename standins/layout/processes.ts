/**
 * Starts and ends the processes of a placement. It ends only the child processes that it started, by their process id.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import type { TargetOptions } from '../target/server.js'
import type { HostLayout, Placement } from './schema.js'
import { formatAddress, listNodeFlags, PORTS } from './schema.js'

/** Processes run the compiled files, also when a test loads this file from its source. */
const BUILD_FOLDER = fileURLToPath(new URL(import.meta.url.includes('/dist/') ? '../../' : '../../dist/', import.meta.url))
const FIRST_BLOCK = 20
const BLOCK_PAIRS = 110
const READY_POLL_INTERVAL_MS = 50
const NS_PER_MS = 1_000_000

/**
 * Finds a block of loopback addresses without a listener. A deployment uses two consecutive blocks, the second for links,
 * so the search advances by two.
 */
export async function findBlock (): Promise<number> {
  for (let attempt = 0; attempt < BLOCK_PAIRS; attempt += 1) {
    const block = FIRST_BLOCK + 2 * ((process.pid + attempt) % BLOCK_PAIRS)
    if (await isFree(`127.${block}.255.254`)) return block
  }
  throw new Error('no free block of loopback addresses')
}

/** The listener stays open until this process exits, so that a concurrent run uses another block. */
async function isFree (host: string): Promise<boolean> {
  const server = createServer()
  const result = Promise.race([once(server, 'listening').then(() => true), once(server, 'error').then(() => false)])
  server.listen(PORTS.admin, host)
  server.unref()
  return await result.catch(() => false)
}

/** A line of a node's log, with the fields of its event. */
export type LogLine = Record<string, unknown> & { at: string, upMs: number, event: string }

interface LogFile { path: string, startedAt: number }

export class Processes {
  private readonly children = new Map<string, ChildProcess>()
  /** The log file of the last start of each node. */
  private readonly logFiles = new Map<string, LogFile>()
  private readonly logFolder: string | undefined
  private starts = 0
  private platformUrl = ''

  /** With `keepsLogs` the output of the nodes is kept in files, so that a failed test can show what a node did and when. */
  constructor (private readonly placement: Placement, keepsLogs = false) {
    this.logFolder = keepsLogs ? mkdtempSync(join(tmpdir(), 'comfreyspoke-log-')) : undefined
  }

  get platform (): string {
    return this.platformUrl
  }

  async startPlatform (): Promise<string> {
    const child = this.spawn('platform', 'standins/platform/main.js', [], 'pipe')
    if (child.stdout === null) throw new Error('the platform stand-in has no stdout pipe')
    const exit = once(child, 'exit').then(() => { throw new Error('the platform stand-in exited during startup') })
    const [line] = await Promise.race([once(createInterface({ input: child.stdout }), 'line'), exit]) as [string]
    this.platformUrl = line
    return line
  }

  /** `extraFlags` are additional flags for this node only. */
  startNode (host: HostLayout, extraFlags: readonly string[] = []): void {
    const flags = [...listNodeFlags(host, this.platformUrl), ...extraFlags]
    const output = this.openLogFile(host)
    this.spawn(`node ${host.host}`, 'standins/node/main.js', [JSON.stringify(this.placement), String(host.index), ...flags], output)
    if (typeof output === 'number') closeSync(output)
  }

  /** Starts several nodes in one process, each with an announced target. */
  startNodes (indexes: readonly number[]): void {
    this.spawn(`nodes ${indexes[0] ?? 0}`, 'standins/node/many.js', [JSON.stringify(this.placement), indexes.join(','), this.platformUrl])
  }

  startTarget (host: HostLayout, overrides: Partial<TargetOptions> = {}): void {
    const options: TargetOptions = {
      service: host.service,
      target: `t-${host.index}`,
      address: formatAddress(host, 'target'),
      node: formatAddress(host, 'local'),
      serviceMs: host.serviceMs,
      ...overrides
    }
    this.spawn(`target ${host.host}`, 'standins/target/main.js', [JSON.stringify(options)])
  }

  async awaitReady (hosts: readonly HostLayout[], timeoutMs: number): Promise<void> {
    const deadlineMs = Date.now() + timeoutMs
    for (const host of hosts) {
      while (!await isReady(host)) {
        if (Date.now() > deadlineMs) throw new Error(`${host.host} is not ready after ${timeoutMs} ms; ${this.describeStart(host)}`)
        await delay(READY_POLL_INTERVAL_MS)
      }
    }
  }

  /** Returns the lines that a node logged since its last start. */
  readLog (host: HostLayout): LogLine[] {
    const file = this.logFiles.get(host.host)
    if (file === undefined) return []
    return readFileSync(file.path, 'utf8').split('\n').filter(line => line.startsWith('{') && line.endsWith('}')).map(line => JSON.parse(line) as LogLine)
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

  /** Call it also after a failed start, because the processes do not exit by themselves. */
  async stopAll (): Promise<void> {
    const runningChildren = [...this.children.values()].filter(child => child.exitCode === null && child.signalCode === null)
    const exits = runningChildren.map(async child => { await once(child, 'exit') })
    for (const child of runningChildren) child.kill('SIGKILL')
    await Promise.all(exits)
    if (this.logFolder !== undefined) rmSync(this.logFolder, { recursive: true, force: true })
  }

  private openLogFile (host: HostLayout): number | 'ignore' {
    if (this.logFolder === undefined) return 'ignore'
    this.starts += 1
    const path = join(this.logFolder, `${host.host}-${this.starts}.log`)
    this.logFiles.set(host.host, { path, startedAt: Date.now() })
    return openSync(path, 'a')
  }

  /** Describes a node's log by the time since its process was started, without repetitions of an event. */
  private describeStart (host: HostLayout): string {
    const startedAt = this.logFiles.get(host.host)?.startedAt
    if (startedAt === undefined) return 'its output is not kept'
    const lines = this.readLog(host).filter(({ event }, index, all) => event !== all[index - 1]?.event).map(({ at, event, ...fields }) => `${Date.parse(at) - startedAt} ms ${event} ${JSON.stringify(fields)}`)
    return [`started ${Date.now() - startedAt} ms ago; ${this.describeProcessorTime(host)}; its log by the time since the start:`, ...lines].join('\n  ')
  }

  /** Linux counts the nanoseconds that the main thread of a process ran, and those that it waited for a processor. */
  private describeProcessorTime (host: HostLayout): string {
    try {
      const [ranNs, waitedNs] = readFileSync(`/proc/${this.getPid(`node ${host.host}`) ?? 0}/schedstat`, 'utf8').split(' ').map(Number)
      return `its main thread ran ${Math.round(Number(ranNs) / NS_PER_MS)} ms and waited ${Math.round(Number(waitedNs) / NS_PER_MS)} ms for a processor`
    } catch {
      return 'its processor time is not known'
    }
  }

  private spawn (name: string, script: string, args: string[], stdout: 'pipe' | 'ignore' | number = 'ignore'): ChildProcess {
    const child = spawn(process.execPath, [`${BUILD_FOLDER}${script}`, ...args], { stdio: ['ignore', stdout, 'inherit'] })
    this.children.set(name, child)
    return child
  }
}

async function isReady (host: HostLayout): Promise<boolean> {
  try {
    const response = await request(`http://${formatAddress(host, 'admin')}/readyz`)
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    return false
  }
}
