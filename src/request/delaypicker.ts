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
import type { AttemptOutcome, PickRequest, TargetRating } from './picker.js'
import { SAMPLE_SHARE, TargetStats } from './stats.js'
import type { DelayParts } from './stats.js'
import { TargetTable, UNUSED_TARGET_MS } from './targettable.js'

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
/**
 * Largest random share by which a rating is increased. Ratings within this share count as equal, so that nodes with the same
 * information do not all pick the same target. The target of the local host gets no jitter: only this node prefers it, and a call to
 * it saves the way over another node.
 */
const RATING_JITTER_SHARE = 0.15
/** Weight of a new sample in the share of attempts that a service rejects. */
const REJECTION_SAMPLE_SHARE = 0.1

const UNREACHABLE_CODES = new Set(['not_connected', 'leaving', 'no_target'])

/** A pick compares the targets in the first of these states that any target is in. */
const STATES: ReadonlyArray<TargetRating['state']> = ['available', 'backing-off', 'unreachable']

export class LeastDelayPicker extends Picker {
  private readonly stats = new TargetTable(() => new TargetStats(this.clock.monotonic()))
  private readonly averageServiceMs = new Map<string, number>()
  /** The share of the recent attempts that a service rejected. */
  private readonly rejectionShares = new Map<string, number>()
  private readonly candidates: CandidateSelector
  private evictedAt = 0

  constructor (private readonly locality: NodeLocality, protected readonly clock: Clock, private readonly random: Random) {
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

  /** Does not sample the farther targets, so it may list more than one pick compares. */
  override explain (request: PickRequest): TargetRating[] {
    const { targets, tried, zones, bytes = 0, measureLocalLoad } = request
    const at = this.clock.monotonic()
    const untried = this.candidates.selectAll(targets).filter(target => !tried.has(target.id))
    const ratings = untried.map((target): TargetRating => {
      const stats = this.stats.find(target)?.makeCopy() ?? new TargetStats(at)
      const load = target.host === this.locality.host ? measureLocalLoad?.(target) : undefined
      if (load !== undefined && load.slots > 0) stats.setLoad(at, load)
      const parts = {
        ...this.computeDelayParts(target, stats, at, request),
        distanceMs: zones === 'any' ? 0 : this.computeDistancePenalty(target, bytes)
      }
      const state = stats.isUnreachable(at) ? 'unreachable' : stats.isBackingOff(at) ? 'backing-off' : 'available'
      return { target, state, delayMs: parts.serviceMs + parts.queueMs + parts.failureMs + parts.distanceMs, parts, isCandidate: false }
    })
    return this.markCandidates(ratings)
  }

  /** A pick increases each rating at random, except that of a target on this host. */
  private markCandidates (ratings: readonly TargetRating[]): TargetRating[] {
    const eligible = STATES.map(current => ratings.filter(({ state }) => state === current)).find(({ length }) => length > 0) ?? []
    const limitMs = Math.min(...eligible.map(({ target, delayMs }) => delayMs * (1 + this.getJitterShare(target))))
    return ratings
      .map(rating => ({ ...rating, isCandidate: eligible.includes(rating) && rating.delayMs <= limitMs }))
      .sort((left, right) => Number(right.isCandidate) - Number(left.isCandidate) || left.delayMs - right.delayMs)
  }

  private getJitterShare ({ host }: Target): number {
    return host === this.locality.host ? 0 : RATING_JITTER_SHARE
  }

  private getAverageServiceMs ({ service }: Target): number {
    return this.averageServiceMs.get(service) ?? DEFAULT_SERVICE_MS
  }

  private pickFrom (candidates: readonly Target[], request: PickRequest): Target | undefined {
    const { tried, needsFreeSlot, zones, bytes = 0 } = request
    const at = this.clock.monotonic()
    const untried = candidates.filter(target => !tried.has(target.id))
    const reachable = untried.filter(target => !this.stats.get(target).isUnreachable(at))
    const available = reachable.filter(target => !this.stats.get(target).isBackingOff(at))
    const computeDelay = (target: Target): number => {
      const { serviceMs, queueMs, failureMs } = this.computeDelayParts(target, this.stats.get(target), at, request)
      const delayMs = serviceMs + queueMs + failureMs
      return zones === 'any' ? delayMs : delayMs + this.computeDistancePenalty(target, bytes)
    }
    if (needsFreeSlot) return this.pickBest(this.selectLikelyFree(available, at), computeDelay)
    return this.pickBest(available.length > 0 ? available : reachable.length > 0 ? reachable : untried, computeDelay)
  }

  override beginAttempt (target: Target): void {
    const at = this.clock.monotonic()
    this.stats.get(target).countSend(at)
    this.evictUnused(at)
  }

  override endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome, code = ''): void {
    const at = this.clock.monotonic()
    const stats = this.stats.get(target)
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
    if (load.slots > 0) this.stats.get(target).setLoad(at, load)
  }

  /**
   * Selects targets with a free slot, or else targets of unknown load: in a large fleet a node hears from few of them each second. The
   * more attempts the service rejects, the fewer calls go on to a target of unknown load, so that they are rejected near their caller
   * when all targets are full.
   */
  private selectLikelyFree (targets: readonly Target[], at: number): Target[] {
    const free = targets.filter(target => this.stats.get(target).hasFreeSlot(at))
    const [first] = targets
    if (free.length > 0 || first === undefined) return free
    if (this.random.next() < (this.rejectionShares.get(first.service) ?? 0)) return []
    return targets.filter(target => !this.stats.get(target).hasRecentLoad(at))
  }

  private recordRejectionShare ({ service }: Target, isRejected: boolean): void {
    const share = this.rejectionShares.get(service) ?? 0
    this.rejectionShares.set(service, share + REJECTION_SAMPLE_SHARE * ((isRejected ? 1 : 0) - share))
  }

  private pickBest (targets: readonly Target[], computeDelay: (target: Target) => number): Target | undefined {
    let best: Target | undefined
    let lowest = Infinity
    for (const target of targets) {
      const jitterShare = this.getJitterShare(target)
      const rating = computeDelay(target) * (1 + (jitterShare === 0 ? 0 : jitterShare * this.random.next()))
      if (rating >= lowest) continue
      lowest = rating
      best = target
    }
    return best
  }

  /** Returns the parts of the expected time of a call sent now, without the penalty for the distance. */
  protected computeDelayParts (target: Target, stats: TargetStats, at: number, _request: PickRequest): DelayParts {
    return stats.computeDelayParts(at, target.slots, this.getAverageServiceMs(target))
  }

  private computeDistancePenalty ({ host, zone, region }: Target, bytes: number): number {
    if (host === this.locality.host) return 0
    if (zone === this.locality.zone) return SAME_ZONE_PENALTY_MS
    if (region === this.locality.region) return SAME_REGION_PENALTY_MS + SAME_REGION_PENALTY_MS_PER_KB * bytes / BYTES_PER_KB
    return CROSS_REGION_PENALTY_MS + CROSS_REGION_PENALTY_MS_PER_KB * bytes / BYTES_PER_KB
  }

  private evictUnused (at: number): void {
    if (at - this.evictedAt < UNUSED_TARGET_MS) return
    this.evictedAt = at
    this.stats.evictUnused(at)
  }
}
