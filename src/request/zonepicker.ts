/**
 * Own zone, then own region, then the rest; inside a tier the better of two random targets by
 * requests in flight and latency. What calls have seen goes before what targets announce.
 */
import type { Clock, Random } from '../core/index.js'
import { selectUsable } from '../membership/index.js'
import type { Target } from '../membership/index.js'
import { Picker } from './picker.js'
import type { AttemptOutcome, PickRequest } from './picker.js'
import { TargetScore } from './score.js'

const MAX_EJECTED_SHARE = 0.3
/** Stands for the latency of a service that no call has measured yet. */
const DEFAULT_LATENCY_MS = 5
const AVERAGE_SAMPLE_SHARE = 0.05
/** Between targets that are nearly alike chance decides; else the best of two would get all calls of an idle tier. */
const BETTER_SCORE_FACTOR = 0.8
/** What is known of a target that got no call for so long is dropped. */
const UNUSED_SCORE_MS = 300_000

interface ZoneLocality { zone: string, region: string }

interface Tiers { near: ReadonlyArray<readonly Target[]>, any: ReadonlyArray<readonly Target[]> }

export class ZoneAwarePicker extends Picker {
  private readonly scores = new Map<string, TargetScore>()
  /** Lists of targets are replaced, never changed, so each is split once. */
  private readonly tiers = new WeakMap<readonly Target[], Tiers>()
  private readonly targetsByService = new Map<string, readonly Target[]>()
  private readonly usualMs = new Map<string, number>()

  constructor (private readonly locality: ZoneLocality, private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override pick ({ targets, tried, zones }: PickRequest): Target | undefined {
    if (targets.length === 0) return undefined
    const tiers = this.getTiers(targets)
    this.targetsByService.set(targets[0]?.service ?? '', targets)
    const ordered = zones === 'any' ? tiers.any : tiers.near
    const at = this.clock.monotonic()
    const open = ordered.map(tier => tier.filter(target => !tried.has(target.id) && !this.getScore(target).isEjected(at)))
    const free = open.find(tier => tier.some(target => this.hasCapacity(target, at)))
    if (free !== undefined) return this.pickBetterOfTwo(free.filter(target => this.hasCapacity(target, at)), at)
    const full = open.find(tier => tier.length > 0)
    if (full !== undefined) return this.pickBetterOfTwo(full, at)
    // With no other left, an ejected target is better than none, and so is a starting one.
    const untried = ordered.flat().filter(target => !tried.has(target.id))
    return this.pickBetterOfTwo(untried.length > 0 ? untried : selectUsable(targets.filter(target => !tried.has(target.id))), at)
  }

  override beginAttempt (target: Target): void {
    const score = this.getScore(target)
    score.inFlight += 1
    score.usedAt = this.clock.monotonic()
  }

  override endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome): void {
    const score = this.getScore(target)
    const at = this.clock.monotonic()
    const usual = this.getAverageLatency(target.service)
    score.inFlight -= 1
    if (outcome === 'answered' && latencyMs !== undefined) this.usualMs.set(target.service, usual + AVERAGE_SAMPLE_SHARE * (latencyMs - usual))
    if (score.observe(at, latencyMs, outcome, usual) && this.isEjectable(target, at)) score.eject(at)
  }

  countEjected (targets: readonly Target[], at = this.clock.monotonic()): number {
    return targets.filter(target => this.scores.get(target.id)?.isEjected(at) === true).length
  }

  private isEjectable ({ service, id }: Target, at: number): boolean {
    const targets = this.targetsByService.get(service) ?? []
    return this.countEjected(targets.filter(target => target.id !== id), at) + 1 <= targets.length * MAX_EJECTED_SHARE
  }

  /** Only the node of the target's host counts its slots; this is what is known here. */
  private hasCapacity (target: Target, at: number): boolean {
    const score = this.getScore(target)
    return score.inFlight < target.slots && !score.isBackingOff(at)
  }

  private pickBetterOfTwo (tier: readonly Target[], at: number): Target | undefined {
    const index = this.random.pickIndex(tier.length)
    const first = tier[index]
    if (first === undefined || tier.length === 1) return first
    const second = tier[(index + 1 + this.random.pickIndex(tier.length - 1)) % tier.length]
    return second !== undefined && this.computeScore(second, at) < this.computeScore(first, at) * BETTER_SCORE_FACTOR ? second : first
  }

  private computeScore (target: Target, at: number): number {
    return this.getScore(target).computeScore(at, this.getAverageLatency(target.service))
  }

  private getTiers (targets: readonly Target[]): Tiers {
    const held = this.tiers.get(targets)
    if (held !== undefined) return held
    const tiers = this.splitTiers(targets)
    this.tiers.set(targets, tiers)
    this.evictUnused(this.clock.monotonic())
    return tiers
  }

  private evictUnused (at: number): void {
    for (const [id, score] of this.scores) if (score.inFlight === 0 && at - score.usedAt > UNUSED_SCORE_MS) this.scores.delete(id)
  }

  private splitTiers (targets: readonly Target[]): Tiers {
    const pool = selectUsable(targets)
    const now = this.clock.monotonic()
    for (const target of targets) if (target.state !== 'ready') this.getScore(target).readySince = now
    return {
      near: [
        pool.filter(target => target.zone === this.locality.zone),
        pool.filter(target => target.zone !== this.locality.zone && target.region === this.locality.region),
        pool.filter(target => target.region !== this.locality.region)
      ],
      any: [pool]
    }
  }

  private getScore (target: Target): TargetScore {
    const held = this.scores.get(target.id)
    if (held !== undefined) return held
    const score = new TargetScore(this.clock.monotonic())
    this.scores.set(target.id, score)
    return score
  }

  private getAverageLatency (service: string): number {
    return this.usualMs.get(service) ?? DEFAULT_LATENCY_MS
  }
}
