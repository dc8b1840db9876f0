/**
 * Starts the node program of the users' platform as a process on loopback addresses.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { SharedRetryBudget } from '../../src/request/index.js'

const PORTS = ['target', 'caller', 'inbound', 'ready', 'control', 'peer', 'admin'] as const
const FIRST_PORT = 7_000
/** The flags of the deploy file. */
const DEFAULT_FLAGS = ['--max-old-space-size=200', '--max-semi-space-size=2']

const DEFAULT_RETRY_BUDGET: SharedRetryBudget = { ratio: 0.2, extra: 64, windowMs: 10_000 }

export type NodeAddresses = Record<typeof PORTS[number], string>

export interface PlatformNodeOptions {
  host: string
  zone: string
  region: string
  service: string
  store: string
  addresses: NodeAddresses
  /** The program and its arguments, separated by spaces. */
  program: string
  heartbeatMs: number
  graceMs: number
  retryBudget?: SharedRetryBudget
  flags?: readonly string[]
  /** Further settings. */
  settings?: Readonly<Record<string, string>>
  /** A file descriptor for the output of the process, which is discarded otherwise. */
  output?: number
}

/** Returns the addresses of a node in a block of findBlock, so that no two nodes share a port. */
export function makeNodeAddresses (block: number, index: number): NodeAddresses {
  return Object.fromEntries(PORTS.map((port, offset) => [port, `127.${block}.0.1:${FIRST_PORT + index * PORTS.length + offset}`])) as NodeAddresses
}

export function spawnPlatformNode (options: PlatformNodeOptions): ChildProcess {
  const { host, zone, region, service, store, addresses, heartbeatMs, graceMs } = options
  const { ratio, extra, windowMs } = options.retryBudget ?? DEFAULT_RETRY_BUDGET
  const values = {
    host,
    zone,
    region,
    service,
    store,
    heartbeat: `${heartbeatMs}ms`,
    grace: `${graceMs}ms`,
    'retry-ratio': String(ratio),
    'retry-extra': String(extra),
    'retry-window': `${windowMs}ms`,
    ...addresses,
    ...options.settings
  }
  const file = join(mkdtempSync(join(tmpdir(), 'node-')), 'node.settings')
  writeFileSync(file, Object.entries(values).map(([name, value]) => `${name}=${value}`).join('\n'))
  const output = options.output ?? 'ignore'
  return spawn(process.execPath, [...options.flags ?? [], ...DEFAULT_FLAGS, ...options.program.split(' ')], {
    env: { ...process.env, NODE_OPTIONS: '', COMFREYSPOKE_SETTINGS: file }, stdio: ['ignore', output, output]
  })
}
