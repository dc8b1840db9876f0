/**
 * Reports the counts of this node on each rollout to its coordinator, twice a second, and receives the phase.
 */
import type { Clock, Fault, Result } from '../../core/index.js'
import type { RolloutGuard } from '../guard.js'
import { orderHosts } from '../queries/versions.js'
import type { RolloutReport, RolloutResponse } from '../schema.js'
import type { LocalTargetsReport, ServiceRollout } from '../service.js'

export interface ReportContext {
  guard: RolloutGuard
  clock: Clock
  host: string
  incarnation: number
  /** The hosts that this node can reach, itself included. */
  listHosts: () => string[]
  send: (host: string, report: RolloutReport) => Promise<Result<RolloutResponse, Fault>>
  measureLocal: (running: ServiceRollout) => LocalTargetsReport
}

const REPORT_INTERVAL_MS = 500
/** A host that did not respond is skipped for this time. */
const SKIP_MS = 3_000
/** The most hosts that are asked in one step. */
const MAX_ASKED = 3

export class RolloutReporter {
  private readonly skippedUntil = new Map<string, number>()

  constructor (private readonly context: ReportContext) {}

  async run (signal: AbortSignal): Promise<void> {
    const { clock, guard } = this.context
    while (!signal.aborted) {
      await clock.sleep(REPORT_INTERVAL_MS, signal)
      // A slow coordinator of one service does not delay the reports to the others.
      if (!signal.aborted) for (const running of guard.listRunning()) void this.report(running)
    }
  }

  /** A coordinator that does not know the rollout yet is asked again in the next step. */
  async report (running: ServiceRollout): Promise<void> {
    const { guard, clock, host, incarnation, send, measureLocal } = this.context
    if (running.isReporting) return
    running.isReporting = true
    try {
      for (const coordinator of this.orderCoordinators(running.rollout.service).slice(0, MAX_ASKED)) {
        const askedAt = clock.monotonic()
        const response = await send(coordinator, running.makeReport(host, incarnation, measureLocal(running)))
        if (response.err) {
          this.skippedUntil.set(coordinator, clock.monotonic() + SKIP_MS)
          continue
        }
        const { phase } = response.val
        if (phase !== undefined) guard.receivePhase(running.rollout.service, running.rollout.id, phase, askedAt)
        return
      }
    } finally {
      running.isReporting = false
    }
  }

  private orderCoordinators (service: string): string[] {
    const now = this.context.clock.monotonic()
    return orderHosts(service, this.context.listHosts().filter(host => now >= (this.skippedUntil.get(host) ?? 0)))
  }
}
