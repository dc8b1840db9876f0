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
  leftMs: number
  /** The body was not sent yet, or is kept and can be sent again. */
  canResend: boolean
}

export abstract class RetryPolicy {
  /** Told of each first attempt, which is what the budget is a share of. */
  abstract countCall (service: string): void
  /** Milliseconds to wait before the next attempt, or nothing when the failure is final. */
  abstract decide (question: RetryQuestion): number | undefined
}

const WINDOW_MS = 10_000
const BACKOFF = { baseMs: 5, maxMs: 100 }

interface Window { startedAt: number, calls: number, retries: number }

/** Retries are at most a share of the calls of a window, plus a floor for services with few calls. */
export class BudgetRetryPolicy extends RetryPolicy {
  private readonly windows = new Map<string, Window>()

  constructor (private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override countCall (service: string): void {
    this.getWindow(service).calls += 1
  }

  override decide (question: RetryQuestion): number | undefined {
    const { failure, kind, retries, attempt } = question
    if (!question.canResend || attempt >= retries.attempts) return undefined
    if (failure.verdict === 'ran') return undefined
    if (failure.verdict === 'may-have-run' && kind !== 'idempotent') return undefined
    const waitMs = computeBackoff(attempt, BACKOFF, this.random)
    if (waitMs >= question.leftMs || !this.takeBudget(question)) return undefined
    return waitMs
  }

  private takeBudget ({ service, retries }: RetryQuestion): boolean {
    const window = this.getWindow(service)
    const allowed = window.calls * retries.budgetPercent / 100 + retries.minPerSecond * WINDOW_MS / 1000
    if (window.retries >= allowed) return false
    window.retries += 1
    return true
  }

  private getWindow (service: string): Window {
    const now = this.clock.monotonic()
    const held = this.windows.get(service)
    if (held !== undefined && now - held.startedAt < WINDOW_MS) return held
    const window = { startedAt: now, calls: 0, retries: 0 }
    this.windows.set(service, window)
    return window
  }
}
