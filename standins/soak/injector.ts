/**
 * Carries out the faults of a plan, each as a task of its own, and records which hosts and when they disturb.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { FAULTS } from './faults.js'
import type { FaultContext, FaultPlace, SoakFault } from './faults.js'
import type { SoakHost } from './host.js'
import type { Fault } from './plan.js'
import type { SoakRecord } from './record.js'

export interface FaultInjectorContext extends FaultContext { record: SoakRecord }

/** While a fault lasts, the hosts that it affects are recorded as disturbed this often. */
const RECORD_INTERVAL_MS = 100
const READY_TIMEOUT_MS = 20_000

export class FaultInjector {
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
      running.push(this.inject(FAULTS[fault.kind], { host, forMs: fault.forMs }))
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

  private async inject (fault: SoakFault, place: FaultPlace): Promise<void> {
    this.recordDisturbance(fault, place)
    const timer = setInterval(() => { this.recordDisturbance(fault, place) }, RECORD_INTERVAL_MS)
    await fault.run(this.context, place)
    clearInterval(timer)
    this.recordDisturbance(fault, place)
  }

  private recordDisturbance (fault: SoakFault, place: FaultPlace): void {
    const { operator, record } = this.context
    for (const host of fault.listAffected(this.context, place)) host.disturbedAt = record.elapsedMs
    if (fault.affectsStore) operator.storeDisturbedAt = record.elapsedMs
  }
}
