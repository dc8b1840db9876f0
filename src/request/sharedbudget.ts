/**
 * A retry budget that all nodes share without coordination. Each node derives its part from the calls that it serves, and the parts add
 * up to less than the whole budget. An attempt that reached no target does not count, since the targets then get the call only once.
 */
import type { Clock } from '../core/index.js'
import { RetryPolicy } from './retry.js'
import type { RetryDecision, RetryContext } from './retry.js'

/** Retries within the window: `ratio` of the calls of a service, plus `extra` for all nodes together. */
export interface SharedRetryBudget { ratio: number, extra: number, windowMs: number }

/** Share of the budget that the nodes use. The rest covers calls that targets make while they serve a retry, which no node counts here. */
const USED_BUDGET_SHARE = 0.7
/** A call that this many targets rejected is rejected itself. */
const MAX_ATTEMPTS = 4
/** With less time than this before the deadline, no target can give a useful response. */
const MIN_REMAINING_MS = 20

interface Counts { calls: number[], retries: number[] }

export class SharedBudgetRetryPolicy extends RetryPolicy {
  private readonly counts = new Map<string, Counts>()

  /** `countNodes` returns the number of nodes that share the budget. */
  constructor (private readonly budget: SharedRetryBudget, private readonly countNodes: () => number, private readonly clock: Clock) {
    super()
  }

  override countCall (service: string): void {
    this.getCounts(service).calls.push(this.clock.monotonic())
  }

  override decide (context: RetryContext): RetryDecision {
    const { failure, canResend, leftMs, attempt } = context
    if (!canResend || leftMs < MIN_REMAINING_MS) return 'final'
    if (failure.reached === true) return this.decideReached(context)
    return failure.verdict === 'not-run' && failure.status >= 500 && attempt < MAX_ATTEMPTS ? 0 : 'final'
  }

  private decideReached ({ service, kind, failure, reached, attempts }: RetryContext): RetryDecision {
    if (reached >= attempts || (failure.verdict !== 'not-run' && kind !== 'idempotent')) return 'final'
    return this.consume(service) ? 0 : 'spent'
  }

  private consume (service: string): boolean {
    const { calls, retries } = this.getCounts(service)
    const allowed = calls.length * this.budget.ratio * USED_BUDGET_SHARE + this.budget.extra * USED_BUDGET_SHARE / Math.max(1, this.countNodes())
    if (retries.length + 1 > allowed) return false
    retries.push(this.clock.monotonic())
    return true
  }

  private getCounts (service: string): Counts {
    const counts = this.counts.get(service) ?? { calls: [], retries: [] }
    this.counts.set(service, counts)
    const oldest = this.clock.monotonic() - this.budget.windowMs
    removeBefore(counts.calls, oldest)
    removeBefore(counts.retries, oldest)
    return counts
  }
}

function removeBefore (times: number[], oldest: number): void {
  const firstKept = times.findIndex(time => time >= oldest)
  times.splice(0, firstKept < 0 ? times.length : firstKept)
}
