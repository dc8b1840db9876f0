/**
 * One host of a soak run: a node process, a target, and proxies between the node and its target and between the node and the store.
 */
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, openSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import type { Random } from '../../src/core/index.js'
import { makeNodeAddresses, spawnPlatformNode } from '../layout/platformnode.js'
import type { NodeAddresses } from '../layout/platformnode.js'
import { FaultProxy } from './proxy.js'
import type { SoakRecord } from './record.js'
import { SoakTarget } from './target.js'

export interface SoakHostOptions {
  index: number
  block: number
  service: string
  /** The service that the targets of other services call. */
  callee: string
  zone: string
  region: string
  /** Address of the store. */
  store: string
  /** Folder for the output of the node. */
  folder: string
  record: SoakRecord
  random: Random
}

export const GRACE_MS = 6_000
/** With a small extra, so that few requests use it up. */
export const RETRY_BUDGET = { ratio: 0.2, extra: 10, windowMs: 10_000 }
const HEARTBEAT_MS = 1_000
const PROGRAM = 'target/node.cjs'
const READY_POLL_MS = 50
/** The platform kills a process that outlives its grace time; the process needs some of it to exit. */
const KILL_AFTER_MS = GRACE_MS + 500

export class SoakHost {
  readonly target: SoakTarget
  readonly addresses: NodeAddresses
  readonly storeLink: FaultProxy
  readonly targetLink: FaultProxy
  /** Increases with each start of the node. */
  incarnation = 0
  /** Time of the last start of the node, in milliseconds since the start of the run. */
  startedAt = 0
  /** Time of the last fault that affected this host or its node, in milliseconds since the start of the run. */
  disturbedAt = 0
  /** True while a fault replaces the target. */
  isTargetReplaced = false
  private node: ChildProcess | undefined
  private readonly storeLinkAddress: string
  private readonly ownAddress: string

  constructor (readonly options: SoakHostOptions) {
    const { index, block, callee, record, random, store } = options
    this.addresses = makeNodeAddresses(block, index)
    this.ownAddress = deriveAddress(this.addresses.target, block, 2)
    this.storeLinkAddress = deriveAddress(this.addresses.target, block, 3)
    this.targetLink = new FaultProxy(this.ownAddress)
    this.storeLink = new FaultProxy(store)
    const { target: announcedAddress, control, caller } = this.addresses
    this.target = new SoakTarget({ address: this.ownAddress, announcedAddress, control, caller, callee, host: index, record, random })
  }

  async start (): Promise<void> {
    await this.targetLink.listen(this.addresses.target)
    await this.storeLink.listen(this.storeLinkAddress)
    this.startNode()
    await this.target.start(this.options.service)
  }

  startNode (): void {
    const { index, service, zone, region, folder, record } = this.options
    this.incarnation += 1
    this.startedAt = record.elapsedMs
    const output = openSync(join(folder, `host-${index}.log`), 'a')
    const node = spawnPlatformNode({
      host: `host-${index}`,
      zone,
      region,
      service,
      store: this.storeLinkAddress,
      addresses: this.addresses,
      program: PROGRAM,
      heartbeatMs: HEARTBEAT_MS,
      graceMs: GRACE_MS,
      retryBudget: RETRY_BUDGET,
      output
    })
    closeSync(output)
    this.node = node
    node.once('exit', (code, signal) => {
      if (this.node === node) record.recordViolation(`the node of host ${index} ended by itself with ${String(code ?? signal)}`)
    })
  }

  async killNode (): Promise<void> {
    const node = this.releaseNode()
    if (node === undefined) return
    node.kill('SIGKILL')
    await awaitExit(node)
  }

  /** Resolves when the process has exited. Returns false if it outlived its grace time. */
  async stopNode (): Promise<boolean> {
    const node = this.releaseNode()
    if (node === undefined) return true
    node.kill('SIGTERM')
    const isInTime = await Promise.race([awaitExit(node).then(() => true), delay(KILL_AFTER_MS, false, { ref: false })])
    node.kill('SIGKILL')
    await awaitExit(node)
    return isInTime
  }

  pauseNode (isPaused: boolean): void {
    this.node?.kill(isPaused ? 'SIGSTOP' : 'SIGCONT')
  }

  get isNodeRunning (): boolean {
    return this.node !== undefined
  }

  async awaitReady (timeoutMs: number): Promise<boolean> {
    const deadline = performance.now() + timeoutMs
    while (performance.now() < deadline) {
      if (await this.isReady()) return true
      await delay(READY_POLL_MS)
    }
    return false
  }

  async close (): Promise<void> {
    this.target.stop()
    this.pauseNode(false)
    await this.killNode()
    this.targetLink.close()
    this.storeLink.close()
  }

  /** From now on the exit of the process is expected. */
  private releaseNode (): ChildProcess | undefined {
    const { node } = this
    this.node = undefined
    return node
  }

  private async isReady (): Promise<boolean> {
    try {
      const response = await request(`http://${this.addresses.ready}/-/readyz`, { signal: AbortSignal.timeout(500) })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }
}

async function awaitExit (node: ChildProcess): Promise<void> {
  if (node.exitCode === null && node.signalCode === null) await once(node, 'exit')
}

/** Returns the same port on another address of the block. */
function deriveAddress (address: string, block: number, last: number): string {
  return `127.${block}.0.${last}:${address.split(':')[1] ?? ''}`
}
