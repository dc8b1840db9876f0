/**
 * The coordinators that this node runs: one for each rollout on which nodes report to it.
 */
import type { Clock } from '../core/index.js'
import { RolloutCoordinator } from './coordinator.js'
import type { RolloutGuard } from './guard.js'
import type { Rollout, RolloutReport, RolloutResponse } from './schema.js'

/** A coordinator that gets no reports for this time has been replaced by one that the nodes can reach. */
const IDLE_MS = 5_000

interface HeldCoordinator { coordinator: RolloutCoordinator, heardAt: number }

export class RolloutCoordinators {
  private readonly held = new Map<string, HeldCoordinator>()

  constructor (
    private readonly guard: RolloutGuard,
    private readonly clock: Clock,
    private readonly makeCoordinator = (rollout: Rollout): RolloutCoordinator => new RolloutCoordinator(rollout, clock)
  ) {}

  receive (report: RolloutReport): RolloutResponse {
    const running = this.guard.find(report.service)
    if (running?.rollout.id !== report.id || running.rollout.state !== 'running') return {}
    const existing = this.held.get(report.service)
    const coordinator = existing?.coordinator.rollout.id === report.id ? existing.coordinator : this.makeCoordinator(running.current)
    this.held.set(report.service, { coordinator, heardAt: this.clock.monotonic() })
    return { phase: coordinator.receive(report) }
  }

  /** Discards those whose rollout has ended here, and those that nobody reports to, and returns the others. */
  list (): RolloutCoordinator[] {
    for (const [service, { coordinator, heardAt }] of this.held) {
      const running = this.guard.find(service)
      const isCurrent = running?.rollout.id === coordinator.rollout.id && running.rollout.state === 'running'
      if (!isCurrent || this.clock.monotonic() - heardAt >= IDLE_MS) this.held.delete(service)
    }
    return [...this.held.values()].map(({ coordinator }) => coordinator)
  }
}
