/**
 * Decides whether another attempt follows a failed one.
 */
import type { Clock, Failure, Random } from '../core/index.js'
import { computeBackoff, getOrMake } from '../core/index.js'
import type { Retries, RouteKind } from '../document/index.js'
import type { ExpectedCalls } from './callrates.js'
import type { RunOrigin } from './schema.js'

export interface RetryContext {
  service: string
  kind: RouteKind
  retries: Retries
  failure: Failure
  attempt: number
  /** Attempts that reached a target. The route allows `attempts` of them. */
  reached: number
  attempts: number
  leftMs: number
  /** True if the body was not sent yet, or is buffered and can be sent again. */
  canResend: boolean
}

/** Milliseconds to wait before the next attempt. `spent`: another attempt would be allowed, but the retry budget is used up. */
export type RetryDecision = number | 'final' | 'spent'

/** Calls after the first have no effect. */
export type EndRun = () => void

export abstract class RetryPolicy {
  /** Called once for each call. The retry budget is a share of these calls. `isOfRun`: a run on this host may have made the call. */
  abstract countCall (service: string, isOfRun: boolean): void
  abstract decide (context: RetryContext): RetryDecision
  /** Called once for each attempt that was allowed after one that reached a target: when it has reached a target, or is not made. */
  abstract finishRetry (service: string, hasReachedTarget: boolean): void
  /**
   * Called for each run on this host before its request is sent to the target, with the calls that it is expected to make. Returns a
   * function to call when the run has ended, or undefined if a repeat must not run.
   */
  abstract admitRun (origin: RunOrigin, expectedCalls: readonly ExpectedCalls[]): EndRun | undefined
}

const BUCKET_MS = 1_000
const BUCKETS = 10
const BACKOFF = { baseMs: 5, maxMs: 100 }

/** Counts the calls and retries of the last ten seconds, in buckets of one second. */
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
    const isWithinShare = sum(this.retries) + 1 <= sum(this.calls) * budgetPercent / 100
    const isWithinMinimum = (this.retries[this.currentBucket % BUCKETS] ?? 0) + 1 <= minPerSecond
    if (!isWithinShare && !isWithinMinimum) return false
    this.countInBucket(this.retries)
    return true
  }

  private countInBucket (counts: number[]): void {
    const index = this.currentBucket % BUCKETS
    counts[index] = (counts[index] ?? 0) + 1
  }

  private advance (at: number): void {
    const newest = Math.floor(at / BUCKET_MS)
    for (let bucket = Math.max(this.currentBucket + 1, newest - BUCKETS + 1); bucket <= newest; bucket += 1) {
      this.calls[bucket % BUCKETS] = 0
      this.retries[bucket % BUCKETS] = 0
    }
    this.currentBucket = Math.max(this.currentBucket, newest)
  }
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}

/** Limits retries to a share of the calls of the last ten seconds, with a minimum per second for services with few calls. */
export class BudgetRetryPolicy extends RetryPolicy {
  private readonly budgets = new Map<string, RetryBudget>()

  constructor (private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override countCall (service: string): void {
    this.getBudget(service).countCall(this.clock.monotonic())
  }

  override finishRetry (): void {}

  override admitRun (): EndRun {
    return () => {}
  }

  override decide (context: RetryContext): RetryDecision {
    if (!isRetryable(context)) return 'final'
    const waitMs = computeBackoff(context.attempt, BACKOFF, this.random)
    if (waitMs >= context.leftMs) return 'final'
    const budget = this.getBudget(context.service)
    return budget.consume(this.clock.monotonic(), context.retries) ? waitMs : 'spent'
  }

  private getBudget (service: string): RetryBudget {
    return getOrMake(this.budgets, service, () => new RetryBudget())
  }
}

/** A failure with a status below 500 is caused by the request itself and would be the same on any target. */
function isRetryable ({ canResend, attempt, retries, failure, kind }: RetryContext): boolean {
  if (!canResend || attempt >= retries.attempts || failure.noRetry === true) return false
  if (failure.verdict === 'not-run') return failure.status >= 500
  return failure.verdict === 'may-have-run' && kind === 'idempotent'
}
