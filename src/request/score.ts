/**
 * What a node has seen of one target in the calls that it sent there. Times are in milliseconds on
 * the monotonic clock.
 */
import type { AttemptOutcome } from './picker.js'

/** The share of a new sample in the moving latency. */
const SAMPLE_SHARE = 0.2
/** Half of what a latency differs from the usual one is forgotten in this time, so that a target that got no call is tried again. */
const LATENCY_HALF_LIFE_MS = 1_000
/** A failure counts as a call this much slower than usual, so that failing fast does not look fast. */
const FAILURE_FACTOR = 3
const MIN_FAILURE_MS = 100
const MAX_PENALTY_STEPS = 6
const SLOW_START_MS = 10_000
const SLOW_START_MIN_SHARE = 0.1
const WINDOW_MS = 10_000
const WINDOW_MIN_CALLS = 10
const MAX_CONSECUTIVE_FAILURES = 5
const EJECTION_BASE_MS = 5_000
const EJECTION_MAX_MS = 60_000
/** After this time without an ejection the next one is short again. */
const EJECTION_RESET_MS = 120_000
/** How long a target that refused a call is passed over while others have room. */
const REJECTION_BACKOFF_MS = 50

export class TargetScore {
  inFlight = 0
  usedAt: number
  private latencyMs: number | undefined
  private sampledAt = 0
  private consecutiveFailures = 0
  private window = { startedAt: 0, calls: 0, failures: 0 }
  private ejectedUntil = -Infinity
  private ejections = 0
  private backoffUntil = -Infinity

  /** `readySince`: when this node first saw the target ready. */
  constructor (public readySince: number) {
    this.usedAt = readySince
  }

  isEjected (at: number): boolean {
    return at < this.ejectedUntil
  }

  isBackingOff (at: number): boolean {
    return at < this.backoffUntil
  }

  /** Lower is better: the time that a call sent now would take, longer for a target that is new or failing. */
  computeScore (at: number, usualMs: number): number {
    const warm = Math.min(1, Math.max(SLOW_START_MIN_SHARE, (at - this.readySince) / SLOW_START_MS))
    const penalty = 2 ** Math.min(this.consecutiveFailures, MAX_PENALTY_STEPS)
    return (this.inFlight + 1) * this.computeLatency(at, usualMs) * penalty / warm
  }

  /** True when what was seen is reason to eject the target. */
  observe (at: number, latencyMs: number | undefined, outcome: AttemptOutcome, usualMs: number): boolean {
    if (outcome === 'cancelled') return false
    if (outcome === 'refused') {
      this.backoffUntil = at + REJECTION_BACKOFF_MS
      return false
    }
    const failed = outcome === 'failed'
    if (failed) this.recordSample(at, Math.max(latencyMs ?? 0, MIN_FAILURE_MS, usualMs * FAILURE_FACTOR))
    else if (latencyMs !== undefined) this.recordSample(at, latencyMs)
    this.consecutiveFailures = failed ? this.consecutiveFailures + 1 : 0
    this.countInWindow(at, failed)
    const { calls, failures } = this.window
    return this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || (failed && calls >= WINDOW_MIN_CALLS && failures * 2 > calls)
  }

  /** The target comes back as a new one, so that it is tried before it gets its share. */
  eject (at: number): void {
    if (at - this.ejectedUntil > EJECTION_RESET_MS) this.ejections = 0
    const ms = Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** this.ejections)
    this.ejections += 1
    this.ejectedUntil = at + ms
    this.readySince = this.ejectedUntil
    this.consecutiveFailures = 0
    this.latencyMs = undefined
    this.window = { startedAt: at, calls: 0, failures: 0 }
  }

  private computeLatency (at: number, usualMs: number): number {
    if (this.latencyMs === undefined) return usualMs
    return usualMs + (this.latencyMs - usualMs) * 0.5 ** ((at - this.sampledAt) / LATENCY_HALF_LIFE_MS)
  }

  private recordSample (at: number, ms: number): void {
    this.sampledAt = at
    this.latencyMs = this.latencyMs === undefined ? ms : this.latencyMs + SAMPLE_SHARE * (ms - this.latencyMs)
  }

  private countInWindow (at: number, failed: boolean): void {
    if (at - this.window.startedAt >= WINDOW_MS) this.window = { startedAt: at, calls: 0, failures: 0 }
    this.window.calls += 1
    if (failed) this.window.failures += 1
  }
}
