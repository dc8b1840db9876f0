/**
 * What a node knows of one target from its own calls and from the target's load reports, and the delay that it expects of a call sent
 * now. Times are in milliseconds on the monotonic clock.
 */
import type { TargetLoad } from './load.js'

/** Weight of a new sample in a moving average of service times. */
export const SAMPLE_SHARE = 0.1
/** Delay added to the rating of a target at a failure rate of 1. */
const FAILURE_PENALTY_MS = 2_000
const FAILURE_SAMPLE_SHARE = 0.3
const FAILURE_HALF_LIFE_MS = 2_000
/** How long an unreachable or leaving target is not picked. The time doubles with each further such failure, up to the maximum. */
const UNREACHABLE_BACKOFF_MS = 300
const UNREACHABLE_MAX_BACKOFF_MS = 3_000
/** How long this node does not pick a target that rejected a request because it had no free slot. */
const REJECTION_BACKOFF_MS = 40
/** A load report that is older may be out of date. */
const LOAD_MAX_AGE_MS = 1_000
/** Half-life of a reported load. The nodes that caused the load send more requests, so it outlasts the requests that it counted. */
const LOAD_HALF_LIFE_MS = 1_000
/** A new target is expected to be slower by this factor during its warm-up. */
const WARM_UP_MS = 3_000
const WARM_UP_FACTOR = 2

/** The parts of an expected delay, in milliseconds. */
export interface DelayParts { serviceMs: number, queueMs: number, failureMs: number }

export class TargetStats {
  inFlight = 0
  usedAt: number
  serviceMs: number | undefined
  private load: TargetLoad | undefined
  private loadAt = 0
  private sentSinceLoad = 0
  private failureRate = 0
  private failedAt = 0
  private unreachableUntil = -Infinity
  private unreachableBackoffMs = 0
  private backoffUntil = -Infinity

  constructor (private readonly firstSeenAt: number) {
    this.usedAt = firstSeenAt
  }

  isUnreachable (at: number): boolean {
    return at < this.unreachableUntil
  }

  isBackingOff (at: number): boolean {
    return at < this.backoffUntil
  }

  countSend (at: number): void {
    this.inFlight += 1
    this.sentSinceLoad += 1
    this.usedAt = at
  }

  setLoad (at: number, load: TargetLoad): void {
    this.load = load
    this.loadAt = at
    this.sentSinceLoad = 0
  }

  recordService (ms: number): void {
    this.serviceMs = this.serviceMs === undefined ? ms : this.serviceMs + SAMPLE_SHARE * (ms - this.serviceMs)
    this.unreachableBackoffMs = 0
    this.unreachableUntil = -Infinity
  }

  recordFailure (at: number, isFailed: boolean): void {
    this.failureRate = this.computeFailureRate(at)
    this.failureRate += FAILURE_SAMPLE_SHARE * ((isFailed ? 1 : 0) - this.failureRate)
    this.failedAt = at
  }

  recordUnreachable (at: number): void {
    this.unreachableBackoffMs = Math.min(UNREACHABLE_MAX_BACKOFF_MS, Math.max(UNREACHABLE_BACKOFF_MS, this.unreachableBackoffMs * 2))
    this.unreachableUntil = at + this.unreachableBackoffMs
  }

  recordRejection (at: number): void {
    this.backoffUntil = at + REJECTION_BACKOFF_MS
  }

  hasRecentLoad (at: number): boolean {
    return this.load !== undefined && at - this.loadAt <= LOAD_MAX_AGE_MS
  }

  /** Returns true if a recent load report, plus the requests sent since, leaves a slot free. */
  hasFreeSlot (at: number): boolean {
    if (this.load === undefined || !this.hasRecentLoad(at)) return false
    return this.load.used + this.load.waiting + this.sentSinceLoad < this.load.slots
  }

  /** Returns the expected time of a call sent now in milliseconds, without the network delay. */
  computeDelay (at: number, slots: number, averageMs: number): number {
    const { serviceMs, queueMs, failureMs } = this.computeDelayParts(at, slots, averageMs)
    return serviceMs + queueMs + failureMs
  }

  computeDelayParts (at: number, slots: number, averageMs: number): DelayParts {
    const serviceMs = (this.serviceMs ?? averageMs) * (at - this.firstSeenAt < WARM_UP_MS ? WARM_UP_FACTOR : 1)
    return { serviceMs, queueMs: this.computeQueueDelay(at, slots, serviceMs), failureMs: this.computeFailurePenalty(at) }
  }

  /** Returns statistics that can be changed without an effect on these. */
  makeCopy (): TargetStats {
    return Object.assign(new TargetStats(this.firstSeenAt), this)
  }

  computeFailurePenalty (at: number): number {
    return this.computeFailureRate(at) * FAILURE_PENALTY_MS
  }

  computeQueueDelay (at: number, slots: number, serviceMs: number): number {
    const ahead = Math.max(this.inFlight, this.computeUsed(at, slots, serviceMs)) + 1 - slots
    return ahead > 0 ? ahead * serviceMs / slots : 0
  }

  /** Estimates the requests on the target: the decayed last report, plus the requests sent since, less those that it has finished since. */
  private computeUsed (at: number, slots: number, serviceMs: number): number {
    if (this.load === undefined) return 0
    const ageMs = at - this.loadAt
    const reported = (this.load.used + this.load.waiting) * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS)
    return reported + Math.max(0, this.sentSinceLoad - ageMs * slots / Math.max(1, serviceMs))
  }

  private computeFailureRate (at: number): number {
    return this.failureRate * 0.5 ** ((at - this.failedAt) / FAILURE_HALF_LIFE_MS)
  }
}
