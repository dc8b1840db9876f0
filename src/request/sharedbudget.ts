/**
 * Retries from a budget that all nodes share without talking about it: each takes its part from its
 * own calls, and the parts add up to less than the whole. An attempt that reached no target is
 * outside the budget, since no target got more than the one request.
 */
import type { Clock } from '../core/index.js'
import { RetryPolicy } from './retry.js'
import type { RetryDecision, RetryQuestion } from './retry.js'

/** `ratio` of a service's calls within the window, and `extra` for the whole fleet besides. */
export interface SharedRetryBudget { ratio: number, extra: number, windowMs: number }

/** Left to calls that targets make below a repeated request, which nobody counts here. */
const OWN_SHARE = 0.7
/** Targets that one call may be refused by before it is refused itself. */
const MAX_TRIES = 4
/** With less time than this left no target gives a useful answer. */
const LEAST_USEFUL_MS = 20

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

  override decide (question: RetryQuestion): RetryDecision {
    const { failure, canResend, leftMs, attempt } = question
    if (!canResend || leftMs < LEAST_USEFUL_MS) return 'final'
    if (failure.reached === true) return this.decideReached(question)
    return failure.verdict === 'not-run' && failure.status >= 500 && attempt < MAX_TRIES ? 0 : 'final'
  }

  private decideReached ({ service, kind, failure, reached, attempts }: RetryQuestion): RetryDecision {
    if (reached >= attempts || (failure.verdict !== 'not-run' && kind !== 'idempotent')) return 'final'
    return this.take(service) ? 0 : 'spent'
  }

  private take (service: string): boolean {
    const { calls, retries } = this.getCounts(service)
    const allowed = calls.length * this.budget.ratio * OWN_SHARE + this.budget.extra * OWN_SHARE / Math.max(1, this.getNodes())
    if (retries.length + 1 > allowed) return false
    retries.push(this.clock.monotonic())
    return true
  }

  private getCounts (service: string): Counts {
    const held = this.counts.get(service) ?? { calls: [], retries: [] }
    this.counts.set(service, held)
    const oldest = this.clock.monotonic() - this.budget.windowMs
    dropBefore(held.calls, oldest)
    dropBefore(held.retries, oldest)
    return held
  }
}

function dropBefore (times: number[], oldest: number): void {
  const kept = times.findIndex(time => time >= oldest)
  times.splice(0, kept < 0 ? times.length : kept)
}
