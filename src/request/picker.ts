/**
 * The choice of a target for one attempt.
 */
import type { Random } from '../core/index.js'
import { selectUsable } from '../membership/index.js'
import type { Target } from '../membership/index.js'

export interface PickRequest {
  targets: readonly Target[]
  /** Targets that earlier attempts of this call went to. */
  tried: ReadonlySet<string>
  zones: 'same-first' | 'any'
}

export abstract class Picker {
  abstract pick (request: PickRequest): Target | undefined
  /** Told of each attempt's start and end, which are what a picker may learn from. */
  abstract begin (target: Target): void
  abstract end (target: Target, latencyMs: number, failed: boolean): void
}

/** Own zone, then own region, then the rest; inside a tier the better of two random targets by requests in flight. */
export class ZonePicker extends Picker {
  private readonly inFlight = new Map<string, number>()

  constructor (private readonly zone: string, private readonly region: string, private readonly random: Random) {
    super()
  }

  override pick ({ targets, tried, zones }: PickRequest): Target | undefined {
    const pool = selectUsable(targets.filter(target => !tried.has(target.id)))
    const tiers = zones === 'any' ? [pool] : this.splitTiers(pool)
    for (const tier of tiers) {
      const found = this.pickTwo(tier)
      if (found !== undefined) return found
    }
    return undefined
  }

  override begin (target: Target): void {
    this.inFlight.set(target.id, this.readInFlight(target) + 1)
  }

  override end (target: Target): void {
    const left = this.readInFlight(target) - 1
    if (left > 0) this.inFlight.set(target.id, left)
    else this.inFlight.delete(target.id)
  }

  private splitTiers (targets: readonly Target[]): Target[][] {
    return [
      targets.filter(target => target.zone === this.zone),
      targets.filter(target => target.zone !== this.zone && target.region === this.region),
      targets.filter(target => target.region !== this.region)
    ]
  }

  private pickTwo (tier: readonly Target[]): Target | undefined {
    const first = tier[this.random.pickIndex(tier.length)]
    const second = tier[this.random.pickIndex(tier.length)]
    if (first === undefined || second === undefined) return first
    return this.readInFlight(second) < this.readInFlight(first) ? second : first
  }

  private readInFlight (target: Target): number {
    return this.inFlight.get(target.id) ?? 0
  }
}
