/**
 * Picks the target with the least expected delay: the time that a call sent now would take there, plus a penalty for the distance.
 * This covers load patterns in which near targets are full, slow, warming up or failing while farther targets have free slots, and
 * those in which all targets are full: a call is then rejected near its caller instead of being sent from one full target to the next.
 */
import type { Clock, Random } from '../core/index.js'
import type { Target } from '../membership/index.js'
import { CandidateSelector } from './candidates.js'
import type { NodeLocality } from './candidates.js'
import type { TargetLoad } from './load.js'
import { Picker } from './picker.js'
import type { AttemptOutcome, PickRequest } from './picker.js'

/**
 * Penalties for distance, in milliseconds of delay. They exceed the network delay, since bytes between zones and regions are billed, and
 * since a call to another host costs processor time at the node of that host, too.
 */
const SAME_ZONE_PENALTY_MS = 20
const SAME_REGION_PENALTY_MS = 60
const CROSS_REGION_PENALTY_MS = 320
const SAME_REGION_PENALTY_MS_PER_KB = 1
const CROSS_REGION_PENALTY_MS_PER_KB = 4
const BYTES_PER_KB = 1_024
/** Assumed service time of a service that has no measured calls yet. */
const DEFAULT_SERVICE_MS = 100
/** Weight of a new sample in a moving average of service times. */
const SAMPLE_SHARE = 0.1
/**
 * Largest random share by which a rating is increased. Ratings within this share count as equal, so that nodes with the same
 * information do not all pick the same target. The target of the local host gets no jitter: only this node prefers it, and a call to
 * it saves the way over another node.
 */
const RATING_JITTER_SHARE = 0.15
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
/** Weight of a new sample in the share of attempts that a service rejects. */
const REJECTION_SAMPLE_SHARE = 0.1
/** Half-life of a reported load. The nodes that caused the load send more requests, so it outlasts the requests that it counted. */
const LOAD_HALF_LIFE_MS = 1_000
/** A new target is expected to be slower by this factor during its warm-up. */
const WARM_UP_MS = 3_000
const WARM_UP_FACTOR = 2
/** Statistics of a target without calls for this time are evicted. */
const UNUSED_STATS_MS = 300_000

const UNREACHABLE_CODES = new Set(['not_connected', 'leaving', 'no_target'])

class TargetStats {
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
    const serviceMs = (this.serviceMs ?? averageMs) * (at - this.firstSeenAt < WARM_UP_MS ? WARM_UP_FACTOR : 1)
    return serviceMs + this.computeQueueDelay(at, slots, serviceMs) + this.computeFailureRate(at) * FAILURE_PENALTY_MS
  }

  private computeQueueDelay (at: number, slots: number, serviceMs: number): number {
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

export class LeastDelayPicker extends Picker {
  private readonly stats = new Map<string, TargetStats>()
  private readonly averageServiceMs = new Map<string, number>()
  /** The share of the recent attempts that a service rejected. */
  private readonly rejectionShares = new Map<string, number>()
  private readonly candidates: CandidateSelector
  private evictedAt = 0

  constructor (private readonly locality: NodeLocality, private readonly clock: Clock, private readonly random: Random) {
    super()
    this.candidates = new CandidateSelector(locality, random)
  }

  override pick (request: PickRequest): Target | undefined {
    const { targets, measureLocalLoad } = request
    if (measureLocalLoad !== undefined) for (const target of this.candidates.selectLocal(targets)) this.recordLoad(target, measureLocalLoad(target))
    const candidates = this.candidates.select(targets)
    const picked = this.pickFrom(candidates, request)
    const all = this.candidates.selectAll(targets)
    // After a rejection for lack of room, targets beyond the sample are not worth another attempt: they may be full as well.
    if (picked !== undefined || request.needsFreeSlot || candidates === all) return picked
    return this.pickFrom(all, request)
  }

  private pickFrom (candidates: readonly Target[], { tried, needsFreeSlot, zones, bytes = 0 }: PickRequest): Target | undefined {
    const at = this.clock.monotonic()
    const untried = candidates.filter(target => !tried.has(target.id))
    const reachable = untried.filter(target => !this.getStats(target, at).isUnreachable(at))
    const available = reachable.filter(target => !this.getStats(target, at).isBackingOff(at))
    const computePenalty = zones === 'any' ? (): number => 0 : (target: Target): number => this.computeDistancePenalty(target, bytes)
    if (needsFreeSlot) return this.pickBest(this.selectLikelyFree(available, at), at, computePenalty)
    return this.pickBest(available.length > 0 ? available : reachable.length > 0 ? reachable : untried, at, computePenalty)
  }

  override beginAttempt (target: Target): void {
    const at = this.clock.monotonic()
    this.getStats(target, at).countSend(at)
    this.evictUnused(at)
  }

  override endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome, code = ''): void {
    const at = this.clock.monotonic()
    const stats = this.getStats(target, at)
    stats.inFlight -= 1
    if (outcome === 'cancelled') return
    if (outcome !== 'failed') this.recordRejectionShare(target, outcome === 'refused')
    if (UNREACHABLE_CODES.has(code)) stats.recordUnreachable(at)
    else if (outcome === 'refused') stats.recordRejection(at)
    else stats.recordFailure(at, outcome === 'failed')
    if (outcome !== 'answered' || latencyMs === undefined) return
    stats.recordService(latencyMs)
    const averageMs = this.averageServiceMs.get(target.service) ?? latencyMs
    this.averageServiceMs.set(target.service, averageMs + SAMPLE_SHARE * (latencyMs - averageMs))
  }

  override recordLoad (target: Target, load: TargetLoad): void {
    const at = this.clock.monotonic()
    if (load.slots > 0) this.getStats(target, at).setLoad(at, load)
  }

  /**
   * Selects targets with a free slot, or else targets of unknown load: in a large fleet a node hears from few of them each second. The
   * more attempts the service rejects, the fewer calls go on to a target of unknown load, so that they are rejected near their caller
   * when all targets are full.
   */
  private selectLikelyFree (targets: readonly Target[], at: number): Target[] {
    const free = targets.filter(target => this.getStats(target, at).hasFreeSlot(at))
    const [first] = targets
    if (free.length > 0 || first === undefined) return free
    if (this.random.next() < (this.rejectionShares.get(first.service) ?? 0)) return []
    return targets.filter(target => !this.getStats(target, at).hasRecentLoad(at))
  }

  private recordRejectionShare ({ service }: Target, isRejected: boolean): void {
    const share = this.rejectionShares.get(service) ?? 0
    this.rejectionShares.set(service, share + REJECTION_SAMPLE_SHARE * ((isRejected ? 1 : 0) - share))
  }

  private pickBest (targets: readonly Target[], at: number, computePenalty: (target: Target) => number): Target | undefined {
    let best: Target | undefined
    let lowest = Infinity
    for (const target of targets) {
      const averageMs = this.averageServiceMs.get(target.service) ?? DEFAULT_SERVICE_MS
      const delayMs = this.getStats(target, at).computeDelay(at, target.slots, averageMs) + computePenalty(target)
      const jitterShare = target.host === this.locality.host ? 0 : RATING_JITTER_SHARE * this.random.next()
      const rating = delayMs * (1 + jitterShare)
      if (rating >= lowest) continue
      lowest = rating
      best = target
    }
    return best
  }

  private computeDistancePenalty ({ host, zone, region }: Target, bytes: number): number {
    if (host === this.locality.host) return 0
    if (zone === this.locality.zone) return SAME_ZONE_PENALTY_MS
    if (region === this.locality.region) return SAME_REGION_PENALTY_MS + SAME_REGION_PENALTY_MS_PER_KB * bytes / BYTES_PER_KB
    return CROSS_REGION_PENALTY_MS + CROSS_REGION_PENALTY_MS_PER_KB * bytes / BYTES_PER_KB
  }

  private getStats (target: Target, at: number): TargetStats {
    const existing = this.stats.get(target.id)
    if (existing !== undefined) return existing
    const stats = new TargetStats(at)
    this.stats.set(target.id, stats)
    return stats
  }

  private evictUnused (at: number): void {
    if (at - this.evictedAt < UNUSED_STATS_MS) return
    this.evictedAt = at
    for (const [id, stats] of this.stats) if (stats.inFlight === 0 && at - stats.usedAt > UNUSED_STATS_MS) this.stats.delete(id)
  }
}
