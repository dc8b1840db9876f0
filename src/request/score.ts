/**
 * The score of one target, from the calls that this node sent there. Times are in milliseconds on the monotonic clock.
 */
import type { AttemptOutcome } from './picker.js'

/** Weight of a new sample in the moving average of the latency. */
const SAMPLE_SHARE = 0.2
/** Half-life of the difference between the latency of a target and the average, so that a slow target without calls is tried again. */
const LATENCY_HALF_LIFE_MS = 1_000
/** A failed call counts as slower than the average by this factor, so that a target that fails fast does not score as a fast one. */
const FAILURE_FACTOR = 3
const MIN_FAILURE_MS = 100
/** Each consecutive failure doubles the score, up to this many times. */
const MAX_PENALTY_STEPS = 6
const SLOW_START_MS = 10_000
const SLOW_START_MIN_SHARE = 0.1
const WINDOW_MS = 10_000
const WINDOW_MIN_CALLS = 10
const MAX_CONSECUTIVE_FAILURES = 5
const EJECTION_BASE_MS = 5_000
const EJECTION_MAX_MS = 60_000
/** After this time without an ejection, the next one has the base length again. */
const EJECTION_RESET_MS = 120_000
/** How long a target that rejected a call is not picked while other targets have free slots. */
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

  /** Returns the expected time of a call sent now, increased for a target that is new or failing. Lower is better. */
  computeScore (at: number, averageMs: number): number {
    const warmUpShare = Math.min(1, Math.max(SLOW_START_MIN_SHARE, (at - this.readySince) / SLOW_START_MS))
    const penalty = 2 ** Math.min(this.consecutiveFailures, MAX_PENALTY_STEPS)
    return (this.inFlight + 1) * this.computeLatency(at, averageMs) * penalty / warmUpShare
  }

  /** Records the outcome of a call. Returns true if the target should be ejected. */
  observe (at: number, latencyMs: number | undefined, outcome: AttemptOutcome, averageMs: number): boolean {
    if (outcome === 'cancelled') return false
    if (outcome === 'refused') {
      this.backoffUntil = at + REJECTION_BACKOFF_MS
      return false
    }
    const failed = outcome === 'failed'
    if (failed) this.recordSample(at, Math.max(latencyMs ?? 0, MIN_FAILURE_MS, averageMs * FAILURE_FACTOR))
    else if (latencyMs !== undefined) this.recordSample(at, latencyMs)
    this.consecutiveFailures = failed ? this.consecutiveFailures + 1 : 0
    this.countInWindow(at, failed)
    const { calls, failures } = this.window
    return this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || (failed && calls >= WINDOW_MIN_CALLS && failures * 2 > calls)
  }

  /** After the ejection the target counts as new, so it gets a few calls before its full share. */
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

  private computeLatency (at: number, averageMs: number): number {
    if (this.latencyMs === undefined) return averageMs
    return averageMs + (this.latencyMs - averageMs) * 0.5 ** ((at - this.sampledAt) / LATENCY_HALF_LIFE_MS)
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
