/**
 * Whether a failed attempt may be followed by another.
 */
import type { Clock, Failure, Random } from '../core/index.js'
import { computeBackoff } from '../core/index.js'
import type { Retries, RouteKind } from '../document/index.js'

export interface RetryQuestion {
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
  abstract decide (question: RetryQuestion): RetryDecision
}

const STEP_MS = 1_000
const STEPS = 10
const BACKOFF = { baseMs: 5, maxMs: 100 }

/** Calls and retries of the last ten seconds, one step a second. */
class Budget {
  private readonly calls = new Array<number>(STEPS).fill(0)
  private readonly retries = new Array<number>(STEPS).fill(0)
  private step = 0

  countCall (at: number): void {
    this.advance(at)
    this.countIn(this.calls)
  }

  take (at: number, { budgetPercent, minPerSecond }: Retries): boolean {
    this.advance(at)
    const isInShare = sum(this.retries) + 1 <= sum(this.calls) * budgetPercent / 100
    const isInFloor = (this.retries[this.step % STEPS] ?? 0) + 1 <= minPerSecond
    if (!isInShare && !isInFloor) return false
    this.countIn(this.retries)
    return true
  }

  private countIn (counts: number[]): void {
    const index = this.step % STEPS
    counts[index] = (counts[index] ?? 0) + 1
  }

  private advance (at: number): void {
    const now = Math.floor(at / STEP_MS)
    for (let step = Math.max(this.step + 1, now - STEPS + 1); step <= now; step += 1) {
      this.calls[step % STEPS] = 0
      this.retries[step % STEPS] = 0
    }
    this.step = Math.max(this.step, now)
  }
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}

/** Retries are at most a share of the calls of ten seconds, plus a floor for services with few calls. */
export class BudgetRetryPolicy extends RetryPolicy {
  private readonly budgets = new Map<string, Budget>()

  constructor (private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override countCall (service: string): void {
    this.getBudget(service).countCall(this.clock.monotonic())
  }

  override decide (question: RetryQuestion): RetryDecision {
    if (!isRepeatable(question)) return 'final'
    const waitMs = computeBackoff(question.attempt, BACKOFF, this.random)
    if (waitMs >= question.leftMs) return 'final'
    const budget = this.getBudget(question.service)
    return budget.take(this.clock.monotonic(), question.retries) ? waitMs : 'spent'
  }

  private getBudget (service: string): Budget {
    const held = this.budgets.get(service)
    if (held !== undefined) return held
    const budget = new Budget()
    this.budgets.set(service, budget)
    return budget
  }
}

/** A refusal below 500 is about the request itself and would be the same anywhere. */
function isRepeatable ({ canResend, attempt, retries, failure, kind }: RetryQuestion): boolean {
  if (!canResend || attempt >= retries.attempts || failure.noRetry === true) return false
  if (failure.verdict === 'not-run') return failure.status >= 500
  return failure.verdict === 'may-have-run' && kind === 'idempotent'
}
