/**
 * Retries from a budget that all nodes share without talking about it: each takes its part from its
 * own calls, and the parts add up to less than the whole. An attempt that reached no target is
 * outside the budget, since no target got more than the one request.
 */
import type { Clock } from '../core/index.js'
import { RetryPolicy } from './retry.js'
import type { RetryDecision, RetryContext } from './retry.js'

/** `ratio` of a service's calls within the window, and `extra` for the whole fleet besides. */
export interface SharedRetryBudget { ratio: number, extra: number, windowMs: number }

/** Left to calls that targets make below a repeated request, which nobody counts here. */
const USED_BUDGET_SHARE = 0.7
/** Targets that one call may be refused by before it is refused itself. */
const MAX_ATTEMPTS = 4
/** With less time than this left no target gives a useful answer. */
const MIN_REMAINING_MS = 20

interface Counts { calls: number[], retries: number[] }

export class SharedBudgetRetryPolicy extends RetryPolicy {
  private readonly counts = new Map<string, Counts>()

  /** `getNodes`: how many nodes share the budget. */
  constructor (private readonly budget: SharedRetryBudget, private readonly getNodes: () => number, private readonly clock: Clock) {
    super()
  }

  override countCall (service: string): void {
    this.getCounts(service).calls.push(this.clock.monotonic())
  }

  override decide (question: RetryContext): RetryDecision {
    const { failure, canResend, leftMs, attempt } = question
    if (!canResend || leftMs < MIN_REMAINING_MS) return 'final'
    if (failure.reached === true) return this.decideReached(question)
    return failure.verdict === 'not-run' && failure.status >= 500 && attempt < MAX_ATTEMPTS ? 0 : 'final'
  }

  private decideReached ({ service, kind, failure, reached, attempts }: RetryContext): RetryDecision {
    if (reached >= attempts || (failure.verdict !== 'not-run' && kind !== 'idempotent')) return 'final'
    return this.consume(service) ? 0 : 'spent'
  }

  private consume (service: string): boolean {
    const { calls, retries } = this.getCounts(service)
    const allowed = calls.length * this.budget.ratio * USED_BUDGET_SHARE + this.budget.extra * USED_BUDGET_SHARE / Math.max(1, this.getNodes())
    if (retries.length + 1 > allowed) return false
    retries.push(this.clock.monotonic())
    return true
  }

  private getCounts (service: string): Counts {
    const held = this.counts.get(service) ?? { calls: [], retries: [] }
    this.counts.set(service, held)
    const oldest = this.clock.monotonic() - this.budget.windowMs
    removeBefore(held.calls, oldest)
    removeBefore(held.retries, oldest)
    return held
  }
}

function removeBefore (times: number[], oldest: number): void {
  const kept = times.findIndex(time => time >= oldest)
  times.splice(0, kept < 0 ? times.length : kept)
}
