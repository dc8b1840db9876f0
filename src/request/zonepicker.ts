/**
 * Picks a target in the zone of this node, then in its region, then elsewhere. Within such a tier, the better of two random targets is
 * picked by requests in flight and latency. Results of calls take precedence over the state that targets announce.
 */
import type { Clock, Random } from '../core/index.js'
import { selectUsable } from '../membership/index.js'
import type { Target } from '../membership/index.js'
import { Picker } from './picker.js'
import type { AttemptOutcome, PickRequest } from './picker.js'
import { TargetScore } from './score.js'
import { TargetTable } from './targettable.js'

/** Largest share of the targets of a service that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.3
/** Assumed latency of a service that has no measured calls yet. */
const DEFAULT_LATENCY_MS = 5
/** Weight of a new sample in the average latency of a service. */
const AVERAGE_SAMPLE_SHARE = 0.05
/**
 * The second target is picked only if its score is below this share of the score of the first. Without this margin, the target with
 * the slightly better score would get all calls of an idle tier.
 */
const BETTER_SCORE_FACTOR = 0.8

interface ZoneLocality { zone: string, region: string }

interface Tiers { near: ReadonlyArray<readonly Target[]>, any: ReadonlyArray<readonly Target[]> }

export class ZoneAwarePicker extends Picker {
  private readonly scores = new TargetTable(() => new TargetScore(this.clock.monotonic()))
  /** Tiers of each list of targets. Lists are replaced, never changed, so each is split once. */
  private readonly tiers = new WeakMap<readonly Target[], Tiers>()
  private readonly targetsByService = new Map<string, readonly Target[]>()
  private readonly averageLatencyMs = new Map<string, number>()

  constructor (private readonly locality: ZoneLocality, private readonly clock: Clock, private readonly random: Random) {
    super()
  }

  override pick ({ targets, tried, zones }: PickRequest): Target | undefined {
    if (targets.length === 0) return undefined
    const tiers = this.getTiers(targets)
    this.targetsByService.set(targets[0]?.service ?? '', targets)
    const ordered = zones === 'any' ? tiers.any : tiers.near
    const at = this.clock.monotonic()
    const available = ordered.map(tier => tier.filter(target => !tried.has(target.id) && !this.scores.get(target).isEjected(at)))
    const free = available.find(tier => tier.some(target => this.hasCapacity(target, at)))
    if (free !== undefined) return this.pickBetterOfTwo(free.filter(target => this.hasCapacity(target, at)), at)
    const full = available.find(tier => tier.length > 0)
    if (full !== undefined) return this.pickBetterOfTwo(full, at)
    // An ejected target is picked if no other is available, and after that a starting one.
    const untried = ordered.flat().filter(target => !tried.has(target.id))
    return this.pickBetterOfTwo(untried.length > 0 ? untried : selectUsable(targets.filter(target => !tried.has(target.id))), at)
  }

  override beginAttempt (target: Target): void {
    const score = this.scores.get(target)
    score.inFlight += 1
    score.usedAt = this.clock.monotonic()
  }

  override endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome): void {
    const score = this.scores.get(target)
    const at = this.clock.monotonic()
    const averageMs = this.getAverageLatency(target.service)
    score.inFlight -= 1
    if (outcome === 'answered' && latencyMs !== undefined) this.averageLatencyMs.set(target.service, averageMs + AVERAGE_SAMPLE_SHARE * (latencyMs - averageMs))
    if (score.observe(at, latencyMs, outcome, averageMs) && this.isEjectable(target, at)) score.eject(at)
  }

  countEjected (targets: readonly Target[], at = this.clock.monotonic()): number {
    return targets.filter(target => this.scores.find(target)?.isEjected(at) === true).length
  }

  private isEjectable ({ service, id }: Target, at: number): boolean {
    const targets = this.targetsByService.get(service) ?? []
    return this.countEjected(targets.filter(target => target.id !== id), at) + 1 <= targets.length * MAX_EJECTED_SHARE
  }

  /** An estimate from this node's requests only. The exact number of used slots is known to the node of the target's host. */
  private hasCapacity (target: Target, at: number): boolean {
    const score = this.scores.get(target)
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
    return this.scores.get(target).computeScore(at, this.getAverageLatency(target.service))
  }

  private getTiers (targets: readonly Target[]): Tiers {
    const existing = this.tiers.get(targets)
    if (existing !== undefined) return existing
    const tiers = this.splitTiers(targets)
    this.tiers.set(targets, tiers)
    this.scores.evictUnused(this.clock.monotonic())
    return tiers
  }

  private splitTiers (targets: readonly Target[]): Tiers {
    const usable = selectUsable(targets)
    const now = this.clock.monotonic()
    for (const target of targets) if (target.state !== 'ready') this.scores.get(target).readySince = now
    return {
      near: [
        usable.filter(target => target.zone === this.locality.zone),
        usable.filter(target => target.zone !== this.locality.zone && target.region === this.locality.region),
        usable.filter(target => target.region !== this.locality.region)
      ],
      any: [usable]
    }
  }

  private getAverageLatency (service: string): number {
    return this.averageLatencyMs.get(service) ?? DEFAULT_LATENCY_MS
  }
}
