/**
 * Least expected delay: each target is rated by the time that a call sent to it now would take, its
 * distance included, and the best is taken. Answers load patterns in which near targets are full,
 * slow, cold or failing while farther ones have room, and those in which all are full: then a call is
 * refused near by and not sent from one full target to the next.
 */
import type { Clock, Random } from '../core/index.js'
import { selectUsable } from '../membership/index.js'
import type { Target } from '../membership/index.js'
import type { TargetLoad } from './load.js'
import { Picker } from './picker.js'
import type { AttemptOutcome, PickRequest } from './picker.js'

export interface NodeLocality { host: string, zone: string, region: string }

/** What distance counts in milliseconds of delay. It counts for more than it takes, since bytes between zones and regions are billed. */
const SAME_ZONE_PENALTY_MS = 2
const SAME_REGION_PENALTY_MS = 120
const CROSS_REGION_PENALTY_MS = 320
const SAME_REGION_PENALTY_MS_PER_KB = 1
const CROSS_REGION_PENALTY_MS_PER_KB = 4
const BYTES_PER_KB = 1_024
/** Stands for the time at a target that no call has measured yet. */
const DEFAULT_SERVICE_MS = 100
const SAMPLE_SHARE = 0.1
/** Ratings this far apart are taken as equal, so that nodes with the same view do not all choose the same target. */
const RATING_JITTER_SHARE = 0.15
/** A failure counts as this much delay while its memory lasts. */
const FAILURE_PENALTY_MS = 2_000
const FAILURE_SAMPLE_SHARE = 0.3
const FAILURE_HALF_LIFE_MS = 2_000
/** A target that could not be reached is left out for this time, doubled each time up to the longest. */
const UNREACHABLE_BACKOFF_MS = 300
const UNREACHABLE_MAX_BACKOFF_MS = 3_000
/** A target that refused for lack of room is not asked again for so long by the calls of this node. */
const REJECTION_BACKOFF_MS = 40
/** What a target's node said longer ago may have changed. */
const LOAD_MAX_AGE_MS = 1_000
/** Half of a reported load is forgotten in this time: who sent it sends more, so it is not gone when its requests are done. */
const LOAD_HALF_LIFE_MS = 1_000
/** New targets are slower for a while. */
const WARM_UP_MS = 3_000
const WARM_UP_FACTOR = 2
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

  /** A fresh report says that a slot is free. */
  hasFreeSlot (at: number): boolean {
    if (this.load === undefined || at - this.loadAt > LOAD_MAX_AGE_MS) return false
    return this.load.used + this.load.waiting + this.sentSinceLoad < this.load.slots
  }

  /** Milliseconds that a call sent now is expected to take, without its way there. */
  computeDelay (at: number, slots: number, usualMs: number): number {
    const serviceMs = (this.serviceMs ?? usualMs) * (at - this.firstSeenAt < WARM_UP_MS ? WARM_UP_FACTOR : 1)
    return serviceMs + this.computeQueueDelay(at, slots, serviceMs) + this.computeFailureRate(at) * FAILURE_PENALTY_MS
  }

  private computeQueueDelay (at: number, slots: number, serviceMs: number): number {
    const ahead = Math.max(this.inFlight, this.computeUsed(at, slots, serviceMs)) + 1 - slots
    return ahead > 0 ? ahead * serviceMs / slots : 0
  }

  /** Requests that the target has by its last report, and what was sent since less what it has done of that. */
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
  private prunedAt = 0

  constructor (private readonly locality: NodeLocality, private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override pick ({ targets, tried, needsFreeSlot: needsRoom, zones, bytes = 0 }: PickRequest): Target | undefined {
    const at = this.clock.monotonic()
    const untried = selectUsable(targets).filter(target => !tried.has(target.id))
    const up = untried.filter(target => !this.getStats(target, at).isUnreachable(at))
    const open = up.filter(target => !this.getStats(target, at).isBackingOff(at))
    const distance = zones === 'any' ? (): number => 0 : (target: Target): number => this.computeDistancePenalty(target, bytes)
    if (needsRoom) return this.pickBest(open.filter(target => this.getStats(target, at).hasFreeSlot(at)), at, distance)
    return this.pickBest(open.length > 0 ? open : up.length > 0 ? up : untried, at, distance)
  }

  override beginAttempt (target: Target): void {
    const at = this.clock.monotonic()
    this.getStats(target, at).countSend(at)
    this.evictUnused(at)
  }

  override endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome, code = ''): void {
    const at = this.clock.monotonic()
    const view = this.getStats(target, at)
    view.inFlight -= 1
    if (outcome === 'cancelled') return
    if (UNREACHABLE_CODES.has(code)) view.recordUnreachable(at)
    else if (outcome === 'refused') view.recordRejection(at)
    else view.recordFailure(at, outcome === 'failed')
    if (outcome !== 'answered' || latencyMs === undefined) return
    view.recordService(latencyMs)
    const usual = this.averageServiceMs.get(target.service) ?? latencyMs
    this.averageServiceMs.set(target.service, usual + SAMPLE_SHARE * (latencyMs - usual))
  }

  override recordLoad (target: Target, load: TargetLoad): void {
    const at = this.clock.monotonic()
    if (load.slots > 0) this.getStats(target, at).setLoad(at, load)
  }

  private pickBest (targets: readonly Target[], at: number, distance: (target: Target) => number): Target | undefined {
    let best: Target | undefined
    let least = Infinity
    for (const target of targets) {
      const usual = this.averageServiceMs.get(target.service) ?? DEFAULT_SERVICE_MS
      const ms = this.getStats(target, at).computeDelay(at, target.slots, usual) + distance(target)
      const rated = ms * (1 + RATING_JITTER_SHARE * this.random.next())
      if (rated >= least) continue
      least = rated
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
    const held = this.stats.get(target.id)
    if (held !== undefined) return held
    const view = new TargetStats(at)
    this.stats.set(target.id, view)
    return view
  }

  private evictUnused (at: number): void {
    if (at - this.prunedAt < UNUSED_STATS_MS) return
    this.prunedAt = at
    for (const [id, view] of this.stats) if (view.inFlight === 0 && at - view.usedAt > UNUSED_STATS_MS) this.stats.delete(id)
  }
}
