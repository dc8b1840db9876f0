/**
 * A fleet for measurements: nodes in groups, several in a process, behind links with the layout's delays.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { SystemClock } from '../../src/core/index.js'
import { applyDocument } from '../../src/document/index.js'
import type { Document } from '../../src/document/index.js'
import { HttpObjectStore } from '../../src/store/index.js'
import { collectEvents, measureConvergence, sumLinkBytes } from '../demo/measure.js'
import type { AcceptedEdit, Convergence } from '../demo/measure.js'
import { findBlock, Processes } from '../layout/processes.js'
import { formatAddress, MANDAP, placeHosts } from '../layout/schema.js'
import type { Placement } from '../layout/schema.js'

const NODES_PER_PROCESS = 10
const READY_LIMIT_MS = 120_000

export interface Usage { cpuSeconds: number, residentBytes: number }

export interface Traffic { zone: number, region: number, platform: number, calls: Record<string, number> }

export class Fleet {
  private readonly store: HttpObjectStore
  private readonly clock = new SystemClock()

  private constructor (readonly placement: Placement, private readonly processes: Processes, private readonly groups: number[][]) {
    this.store = new HttpObjectStore(processes.platform)
  }

  static async start (nodes: number): Promise<Fleet> {
    const placement = placeHosts(MANDAP, await findBlock(), Math.ceil(nodes / MANDAP.services.length))
    const processes = new Processes(placement)
    const groups: number[][] = []
    for (let first = 0; first < placement.hosts.length; first += NODES_PER_PROCESS) {
      groups.push(placement.hosts.slice(first, first + NODES_PER_PROCESS).map(host => host.index))
    }
    try {
      await processes.startPlatform()
      for (const group of groups) processes.startNodes(group)
      await processes.awaitReady(placement.hosts, READY_LIMIT_MS)
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

  /** Waits until each edit is in force everywhere, up to a limit, and measures how long it took. */
  async awaitConvergence (edits: readonly AcceptedEdit[], limitMs: number): Promise<Convergence> {
    const endsAt = Date.now() + limitMs
    for (;;) {
      const convergence = measureConvergence(edits, await collectEvents(this.placement.hosts))
      if (convergence.missing === 0 || Date.now() > endsAt) return convergence
      await delay(250)
    }
  }

  async readTraffic (): Promise<Traffic> {
    const answer = await request(`${this.processes.platform}/control`)
    const { counts } = await answer.body.json() as { counts: Record<string, number> }
    return { ...await sumLinkBytes(this.placement.hosts), calls: counts }
  }

  /** Sums over the processes; each has several nodes. */
  async readUsage (): Promise<Usage> {
    const usage = { cpuSeconds: 0, residentBytes: 0 }
    for (const [index] of this.groups) {
      const host = this.placement.hosts.find(one => one.index === index)
      if (host === undefined) continue
      const answer = await request(`http://${formatAddress(host, 'admin')}/metrics`)
      const text = await answer.body.text()
      usage.cpuSeconds += readGauge(text, 'process_cpu_seconds_total')
      usage.residentBytes += readGauge(text, 'process_resident_memory_bytes')
    }
    return usage
  }
}

function readGauge (text: string, name: string): number {
  return Number(new RegExp(`^${name} (.*)$`, 'm').exec(text)?.[1] ?? NaN)
}
