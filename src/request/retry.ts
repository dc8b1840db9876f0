/**
 * Whether a failed attempt may be followed by another.
 */
import type { Clock, Failure, Random } from '../core/index.js'
import { computeBackoff } from '../core/index.js'
import type { Retries, RouteKind } from '../document/index.js'

export interface RetryContext {
  service: string
  kind: RouteKind
  retries: Retries
  failure: Failure
  attempt: number
  /** Attempts that reached a target, of which the route allows `attempts`. */
  reached: number
  attempts: number
  leftMs: number
  /** The body was not sent yet, or is kept and can be sent again. */
  canResend: boolean
}

/** Milliseconds to wait before the next attempt. `spent`: another attempt would be right, and the budget has none left. */
export type RetryDecision = number | 'final' | 'spent'

export abstract class RetryPolicy {
  /** Told of each first attempt, which is what the budget is a share of. */
  abstract countCall (service: string): void
  abstract decide (question: RetryContext): RetryDecision
}

const BUCKET_MS = 1_000
const BUCKETS = 10
const BACKOFF = { baseMs: 5, maxMs: 100 }

/** Calls and retries of the last ten seconds, one step a second. */
class RetryBudget {
  private readonly calls = new Array<number>(BUCKETS).fill(0)
  private readonly retries = new Array<number>(BUCKETS).fill(0)
  private currentBucket = 0

  countCall (at: number): void {
    this.advance(at)
    this.countInBucket(this.calls)
  }

  consume (at: number, { budgetPercent, minPerSecond }: Retries): boolean {
    this.advance(at)
    const isInShare = sum(this.retries) + 1 <= sum(this.calls) * budgetPercent / 100
    const isInFloor = (this.retries[this.currentBucket % BUCKETS] ?? 0) + 1 <= minPerSecond
    if (!isInShare && !isInFloor) return false
    this.countInBucket(this.retries)
    return true
  }

  private countInBucket (counts: number[]): void {
    const index = this.currentBucket % BUCKETS
    counts[index] = (counts[index] ?? 0) + 1
  }

  private advance (at: number): void {
    const now = Math.floor(at / BUCKET_MS)
    for (let step = Math.max(this.currentBucket + 1, now - BUCKETS + 1); step <= now; step += 1) {
      this.calls[step % BUCKETS] = 0
      this.retries[step % BUCKETS] = 0
    }
    this.currentBucket = Math.max(this.currentBucket, now)
  }
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}

/** Retries are at most a share of the calls of ten seconds, plus a floor for services with few calls. */
export class BudgetRetryPolicy extends RetryPolicy {
  private readonly budgets = new Map<string, RetryBudget>()

  constructor (private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override countCall (service: string): void {
    this.getBudget(service).countCall(this.clock.monotonic())
  }

  override decide (question: RetryContext): RetryDecision {
    if (!isRetryable(question)) return 'final'
    const waitMs = computeBackoff(question.attempt, BACKOFF, this.random)
    if (waitMs >= question.leftMs) return 'final'
    const budget = this.getBudget(question.service)
    return budget.consume(this.clock.monotonic(), question.retries) ? waitMs : 'spent'
  }

  private getBudget (service: string): RetryBudget {
    const held = this.budgets.get(service)
    if (held !== undefined) return held
    const budget = new RetryBudget()
    this.budgets.set(service, budget)
    return budget
  }
}

/** A refusal below 500 is about the request itself and would be the same anywhere. */
function isRetryable ({ canResend, attempt, retries, failure, kind }: RetryContext): boolean {
  if (!canResend || attempt >= retries.attempts || failure.noRetry === true) return false
  if (failure.verdict === 'not-run') return failure.status >= 500
  return failure.verdict === 'may-have-run' && kind === 'idempotent'
}
