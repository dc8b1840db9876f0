/**
 * A fleet of nodes for the benchmarks. Each process runs a group of nodes; the links have the delays of the layout.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { SystemClock } from '../../src/core/index.js'
import { applyDocument } from '../../src/document/index.js'
import type { Document } from '../../src/document/index.js'
import { HttpObjectStore } from '../../src/store/index.js'
import { collectLinkBytes, collectTimelines, measureConvergence, sumLinkBytes } from '../demo/measure.js'
import type { AcceptedEdit, Convergence } from '../demo/measure.js'
import { findBlock, Processes } from '../layout/processes.js'
import { formatAddress, MANDAP, placeHosts } from '../layout/schema.js'
import type { Placement } from '../layout/schema.js'

const NODES_PER_PROCESS = 10
const READY_TIMEOUT_MS = 120_000

export interface ResourceUsage { cpuSeconds: number, residentBytes: number }

export interface Traffic { zone: number, region: number, platform: number, calls: Record<string, number> }

export class Fleet {
  private readonly store: HttpObjectStore
  private readonly clock = new SystemClock()

  private constructor (readonly placement: Placement, private readonly processes: Processes, private readonly groups: number[][]) {
    this.store = new HttpObjectStore(processes.platform)
  }

  static async start (nodeCount: number): Promise<Fleet> {
    const placement = placeHosts(MANDAP, await findBlock(), Math.ceil(nodeCount / MANDAP.services.length))
    const processes = new Processes(placement)
    const groups: number[][] = []
    for (let firstIndex = 0; firstIndex < placement.hosts.length; firstIndex += NODES_PER_PROCESS) {
      groups.push(placement.hosts.slice(firstIndex, firstIndex + NODES_PER_PROCESS).map(host => host.index))
    }
    try {
      await processes.startPlatform()
      for (const group of groups) processes.startNodes(group)
      await processes.awaitReady(placement.hosts, READY_TIMEOUT_MS)
    } catch (error) {
      await processes.stopAll()
      throw error
    }
    return new Fleet(placement, processes, groups)
  }

  async stop (): Promise<void> {
    await this.store.close()
    await this.processes.stopAll()
  }

  async applyEdit (document: Document): Promise<AcceptedEdit> {
    const accepted = await applyDocument(this.store, this.clock, { document, author: 'bench' })
    if (accepted.err) throw new Error(accepted.val.message)
    return accepted.val
  }

  /** Waits until every edit is in force on every node or the timeout has passed, and returns the measured convergence. */
  async awaitConvergence (edits: readonly AcceptedEdit[], timeoutMs: number): Promise<Convergence> {
    const deadline = Date.now() + timeoutMs
    for (;;) {
      const convergence = measureConvergence(edits, await collectTimelines(this.placement.hosts))
      if (convergence.missing === 0 || Date.now() > deadline) return convergence
      await delay(250)
    }
  }

  async readTraffic (): Promise<Traffic> {
    const response = await request(`${this.processes.platform}/control`)
    const { counts } = await response.body.json() as { counts: Record<string, number> }
    return { ...sumLinkBytes(await collectLinkBytes(this.placement.hosts)), calls: counts }
  }

  /** Sums the usage over the processes. The metrics of one node cover all nodes of its process. */
  async readUsage (): Promise<ResourceUsage> {
    const usage = { cpuSeconds: 0, residentBytes: 0 }
    for (const [index] of this.groups) {
      const host = this.placement.hosts.find(candidate => candidate.index === index)
      if (host === undefined) continue
      const response = await request(`http://${formatAddress(host, 'admin')}/metrics`)
      const text = await response.body.text()
      usage.cpuSeconds += readMetric(text, 'process_cpu_seconds_total')
      usage.residentBytes += readMetric(text, 'process_resident_memory_bytes')
    }
    return usage
  }
}

function readMetric (text: string, name: string): number {
  return Number(new RegExp(`^${name} (.*)$`, 'm').exec(text)?.[1] ?? NaN)
}
