/**
 * Least expected delay: each target is rated by the time that a call sent to it now would take, its
 * distance included, and the best is taken. Answers load patterns in which near targets are full,
 * slow, cold or failing while farther ones have room, and those in which all are full: then a call is
 * refused near by and not sent from one full target to the next.
 */
import type { Clock, Random } from '../core/index.js'
import { selectUsable } from '../membership/index.js'
import type { Target } from '../membership/index.js'
import type { Load } from './load.js'
import { Picker } from './picker.js'
import type { AttemptOutcome, PickRequest } from './picker.js'

export interface PickerPlace { host: string, zone: string, region: string }

/** What distance counts in milliseconds of delay. It counts for more than it takes, since bytes between zones and regions are billed. */
const ZONE_MS = 2
const REGION_MS = 120
const FAR_MS = 320
const REGION_MS_PER_KB = 1
const FAR_MS_PER_KB = 4
const KB = 1_024
/** Stands for the time at a target that no call has measured yet. */
const UNKNOWN_SERVICE_MS = 100
const SAMPLE_SHARE = 0.1
/** Ratings this far apart are taken as equal, so that nodes with the same view do not all choose the same target. */
const SPREAD = 0.15
/** A failure counts as this much delay while its memory lasts. */
const FAILURE_MS = 2_000
const FAILURE_SHARE = 0.3
const FAILURE_HALF_LIFE_MS = 2_000
/** A target that could not be reached is left out for this time, doubled each time up to the longest. */
const DOWN_MS = 300
const DOWN_MAX_MS = 3_000
/** A target that refused for lack of room is not asked again for so long by the calls of this node. */
const REFUSED_REST_MS = 40
/** What a target's node said longer ago may have changed. */
const FRESH_LOAD_MS = 1_000
/** Half of a reported load is forgotten in this time: who sent it sends more, so it is not gone when its requests are done. */
const LOAD_HALF_LIFE_MS = 1_000
/** New targets are slower for a while. */
const COLD_MS = 3_000
const COLD_FACTOR = 2
const UNUSED_MS = 300_000

const DOWN_CODES = new Set(['not_connected', 'leaving', 'no_target'])

class TargetView {
  inFlight = 0
  usedAt: number
  serviceMs: number | undefined
  private load: Load | undefined
  private loadAt = 0
  private sentSinceLoad = 0
  private failures = 0
  private failedAt = 0
  private downUntil = -Infinity
  private downMs = 0
  private restUntil = -Infinity

  constructor (private readonly firstSeenAt: number) {
    this.usedAt = firstSeenAt
  }

  isDown (at: number): boolean {
    return at < this.downUntil
  }

  isResting (at: number): boolean {
    return at < this.restUntil
  }

  countSend (at: number): void {
    this.inFlight += 1
    this.sentSinceLoad += 1
    this.usedAt = at
  }

  setLoad (at: number, load: Load): void {
    this.load = load
    this.loadAt = at
    this.sentSinceLoad = 0
  }

  recordService (ms: number): void {
    this.serviceMs = this.serviceMs === undefined ? ms : this.serviceMs + SAMPLE_SHARE * (ms - this.serviceMs)
    this.downMs = 0
    this.downUntil = -Infinity
  }

  recordFailure (at: number, isFailed: boolean): void {
    this.failures = this.getFailures(at)
    this.failures += FAILURE_SHARE * ((isFailed ? 1 : 0) - this.failures)
    this.failedAt = at
  }

  recordDown (at: number): void {
    this.downMs = Math.min(DOWN_MAX_MS, Math.max(DOWN_MS, this.downMs * 2))
    this.downUntil = at + this.downMs
  }

  recordRefusal (at: number): void {
    this.restUntil = at + REFUSED_REST_MS
  }

  /** A fresh report says that a slot is free. */
  hasRoom (at: number): boolean {
    if (this.load === undefined || at - this.loadAt > FRESH_LOAD_MS) return false
    return this.load.used + this.load.waiting + this.sentSinceLoad < this.load.slots
  }

  /** Milliseconds that a call sent now is expected to take, without its way there. */
  measure (at: number, slots: number, usualMs: number): number {
    const serviceMs = (this.serviceMs ?? usualMs) * (at - this.firstSeenAt < COLD_MS ? COLD_FACTOR : 1)
    return serviceMs + this.measureWait(at, slots, serviceMs) + this.getFailures(at) * FAILURE_MS
  }

  private measureWait (at: number, slots: number, serviceMs: number): number {
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

  private getFailures (at: number): number {
    return this.failures * 0.5 ** ((at - this.failedAt) / FAILURE_HALF_LIFE_MS)
  }
}

export class LeastDelayPicker extends Picker {
  private readonly views = new Map<string, TargetView>()
  private readonly usualMs = new Map<string, number>()
  private prunedAt = 0

  constructor (private readonly place: PickerPlace, private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override pick ({ targets, tried, needsFreeSlot: needsRoom, zones, bytes = 0 }: PickRequest): Target | undefined {
    const at = this.clock.monotonic()
    const untried = selectUsable(targets).filter(target => !tried.has(target.id))
    const up = untried.filter(target => !this.getView(target, at).isDown(at))
    const open = up.filter(target => !this.getView(target, at).isResting(at))
    const distance = zones === 'any' ? (): number => 0 : (target: Target): number => this.measureDistance(target, bytes)
    if (needsRoom) return this.pickBest(open.filter(target => this.getView(target, at).hasRoom(at)), at, distance)
    return this.pickBest(open.length > 0 ? open : up.length > 0 ? up : untried, at, distance)
  }

  override beginAttempt (target: Target): void {
    const at = this.clock.monotonic()
    this.getView(target, at).countSend(at)
    this.prune(at)
  }

  override endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome, code = ''): void {
    const at = this.clock.monotonic()
    const view = this.getView(target, at)
    view.inFlight -= 1
    if (outcome === 'cancelled') return
    if (DOWN_CODES.has(code)) view.recordDown(at)
    else if (outcome === 'refused') view.recordRefusal(at)
    else view.recordFailure(at, outcome === 'failed')
    if (outcome !== 'answered' || latencyMs === undefined) return
    view.recordService(latencyMs)
    const usual = this.usualMs.get(target.service) ?? latencyMs
    this.usualMs.set(target.service, usual + SAMPLE_SHARE * (latencyMs - usual))
  }

  override recordLoad (target: Target, load: Load): void {
    const at = this.clock.monotonic()
    if (load.slots > 0) this.getView(target, at).setLoad(at, load)
  }

  private pickBest (targets: readonly Target[], at: number, distance: (target: Target) => number): Target | undefined {
    let best: Target | undefined
    let least = Infinity
    for (const target of targets) {
      const usual = this.usualMs.get(target.service) ?? UNKNOWN_SERVICE_MS
      const ms = this.getView(target, at).measure(at, target.slots, usual) + distance(target)
      const rated = ms * (1 + SPREAD * this.random.next())
      if (rated >= least) continue
      least = rated
      best = target
    }
    return best
  }

  private measureDistance ({ host, zone, region }: Target, bytes: number): number {
    if (host === this.place.host) return 0
    if (zone === this.place.zone) return ZONE_MS
    if (region === this.place.region) return REGION_MS + REGION_MS_PER_KB * bytes / KB
    return FAR_MS + FAR_MS_PER_KB * bytes / KB
  }

  private getView (target: Target, at: number): TargetView {
    const held = this.views.get(target.id)
    if (held !== undefined) return held
    const view = new TargetView(at)
    this.views.set(target.id, view)
    return view
  }

  private prune (at: number): void {
    if (at - this.prunedAt < UNUSED_MS) return
    this.prunedAt = at
    for (const [id, view] of this.views) if (view.inFlight === 0 && at - view.usedAt > UNUSED_MS) this.views.delete(id)
  }
}
