/**
 * Carries out the faults of a plan. Each fault is a task that begins, waits and ends by itself, so that faults overlap.
 */
import { setTimeout as delay } from 'node:timers/promises'
import type { ObjectsServer, ObjectsSwitches } from '../objects/server.js'
import type { SoakHost } from './host.js'
import type { SoakOperator } from './operator.js'
import type { Fault, FaultKind } from './plan.js'
import type { ProxyState } from './proxy.js'
import type { SoakRecord } from './record.js'

export interface FaultInjectorContext {
  hosts: readonly SoakHost[]
  services: readonly string[]
  store: ObjectsServer
  operator: SoakOperator
  record: SoakRecord
}

const EDIT_INTERVAL_MS = 120
const SLOW_STORE_MS = 700
/** A target serves for this long after it has said that it is leaving. */
const LEAVING_MS = 3_500
/** While a fault lasts, the hosts that it affects are recorded as disturbed this often. */
const RECORD_INTERVAL_MS = 100
const READY_TIMEOUT_MS = 20_000

const HEALTHY_STORE: Partial<ObjectsSwitches> = { refuseWith: undefined, isSilent: false, loseAnswers: false, delayMs: 0 }
const STORE_FAULTS: Partial<Record<FaultKind, Partial<ObjectsSwitches>>> = {
  'store-refuses': { refuseWith: 503 },
  'store-silent': { isSilent: true },
  'store-loses-answers': { loseAnswers: true },
  'store-slow': { delayMs: SLOW_STORE_MS }
}
const STORE_LINK_FAULTS: Partial<Record<FaultKind, ProxyState>> = {
  'store-link-silent': 'silent', 'store-link-reset': 'reset', 'store-link-one-way': 'one-way'
}
const TARGET_LINK_FAULTS: Partial<Record<FaultKind, ProxyState>> = {
  'target-link-silent': 'silent', 'target-link-reset': 'reset', 'target-link-one-way': 'one-way', 'target-link-slow': 'slow'
}

export class FaultInjector {
  /** Hosts whose target is being replaced. */
  private readonly replacing = new Set<SoakHost>()

  constructor (private readonly context: FaultInjectorContext) {}

  /** Resolves when all faults have ended. */
  async run (faults: readonly Fault[], onFault: (fault: Fault) => void): Promise<void> {
    const startedAt = performance.now()
    const running: Array<Promise<void>> = []
    for (const fault of faults) {
      await delay(Math.max(0, fault.atMs - (performance.now() - startedAt)))
      const host = this.context.hosts[fault.host]
      if (host === undefined) continue
      onFault(fault)
      running.push(this.inject(fault, host))
    }
    await Promise.all(running)
  }

  /** Stops one node after the other as planned work, and checks that each stop cuts no request and ends within the grace time. */
  async stopInTurn (hosts: readonly SoakHost[]): Promise<void> {
    const { record } = this.context
    for (const host of hosts) {
      const from = record.elapsedMs
      const isInTime = await host.stopNode()
      const { index } = host.options
      if (!isInTime) record.recordViolation(`the node of host ${index} outlived its grace time`)
      record.checkStop(index, from, record.elapsedMs)
      host.startNode()
      if (!await host.awaitReady(READY_TIMEOUT_MS)) record.recordViolation(`host ${index} did not become ready after its stop`)
    }
  }

  private async inject (fault: Fault, host: SoakHost): Promise<void> {
    const affected = fault.kind === 'herd-kill' ? this.listHerd(fault) : [host]
    const record = (): void => { this.recordDisturbance(fault, affected) }
    record()
    const timer = setInterval(record, RECORD_INTERVAL_MS)
    await this.applyFault(fault, affected, host)
    clearInterval(timer)
    record()
  }

  private recordDisturbance ({ kind }: Fault, affected: readonly SoakHost[]): void {
    const { operator, record } = this.context
    for (const host of affected) host.disturbedAt = record.elapsedMs
    if (STORE_FAULTS[kind] !== undefined || kind === 'store-forgets') operator.storeDisturbedAt = record.elapsedMs
  }

  private listHerd ({ host: first }: Fault): SoakHost[] {
    return this.context.hosts.filter((_, index) => (index + first) % 2 === 0)
  }

  private async applyFault ({ kind, forMs }: Fault, affected: readonly SoakHost[], host: SoakHost): Promise<void> {
    const { store, operator } = this.context
    const storeFault = STORE_FAULTS[kind]
    const storeLinkFault = STORE_LINK_FAULTS[kind]
    const targetLinkFault = TARGET_LINK_FAULTS[kind]
    if (storeFault !== undefined) await this.disturbStore(storeFault, forMs)
    else if (storeLinkFault !== undefined) await disturbLink(host.storeLink, storeLinkFault, forMs)
    else if (targetLinkFault !== undefined) await disturbLink(host.targetLink, targetLinkFault, forMs)
    else if (kind === 'store-forgets') store.discardHistory()
    else if (kind === 'edit') operator.edit()
    else if (kind === 'edit-storm') await this.editRepeatedly(forMs)
    else if (kind === 'node-pause') await pauseNode(host, forMs)
    else if (kind === 'node-stop') await restartNode(host, forMs, async () => { await host.stopNode() })
    else if (kind === 'node-kill' || kind === 'herd-kill') await Promise.all(affected.map(async each => { await restartNode(each, forMs, async () => { await each.killNode() }) }))
    else if (kind === 'target-crash' || kind === 'target-leave' || kind === 'target-reuse') await this.replaceTarget(kind, host, forMs)
    else await disturbResponses(host, kind, forMs)
  }

  private async disturbStore (switches: Partial<ObjectsSwitches>, forMs: number): Promise<void> {
    const { store } = this.context
    store.switches = { ...store.switches, ...switches }
    await delay(forMs)
    store.switches = { ...store.switches, ...HEALTHY_STORE }
  }

  private async editRepeatedly (forMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += EDIT_INTERVAL_MS) {
      this.context.operator.edit()
      await delay(EDIT_INTERVAL_MS)
    }
  }

  /** `target-reuse`: a target of another service starts at the address of the one that crashed. */
  private async replaceTarget (kind: FaultKind, host: SoakHost, forMs: number): Promise<void> {
    if (this.replacing.has(host)) return
    this.replacing.add(host)
    const { target, options: { service } } = host
    if (kind === 'target-leave') {
      await target.announceLeaving()
      await delay(LEAVING_MS)
      await target.end()
    } else {
      target.stop()
    }
    await delay(forMs)
    const other = this.context.services.find(name => name !== service) ?? service
    await target.start(kind === 'target-reuse' ? other : service)
    this.replacing.delete(host)
  }
}

async function disturbLink (link: SoakHost['storeLink'], state: ProxyState, forMs: number): Promise<void> {
  link.setState(state)
  await delay(forMs)
  link.setState('up')
}

async function disturbResponses ({ target }: SoakHost, kind: FaultKind, forMs: number): Promise<void> {
  target.setFault(kind)
  await delay(forMs)
  target.setFault(undefined)
}

async function pauseNode (host: SoakHost, forMs: number): Promise<void> {
  host.pauseNode(true)
  await delay(forMs)
  host.pauseNode(false)
}

/** Does nothing if another fault has already ended the node. */
async function restartNode (host: SoakHost, forMs: number, end: () => Promise<void>): Promise<void> {
  if (!host.isNodeRunning) return
  await end()
  await delay(forMs)
  host.startNode()
}
