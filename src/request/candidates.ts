/**
 * Selects the targets that one pick compares. The load pattern is a service with hundreds of targets or more, of which a pick that rates
 * all of them would cost every call more the larger the fleet is. The near targets are compared each time, the farther ones by a random
 * sample, of which the best is close to the best of all.
 */
import { getOrMake } from '../core/index.js'
import type { Random } from '../core/index.js'
import { selectUsable } from '../membership/index.js'
import type { Target } from '../membership/index.js'

export interface NodeLocality { host: string, zone: string, region: string }

/** The largest number of targets in the zone, in other zones of the region and in other regions that a pick compares. */
const MAX_CANDIDATES = { zone: 16, region: 12, beyond: 12 } as const

type Distance = keyof typeof MAX_CANDIDATES

/** The usable targets of a service by distance, in random order. `local` are those on this host. */
interface TargetGroups { all: readonly Target[], local: Target[], byDistance: Record<Distance, Target[]> }

export class CandidateSelector {
  /** Lists of targets are replaced, never changed. */
  private readonly groups = new WeakMap<readonly Target[], TargetGroups>()

  constructor (private readonly locality: NodeLocality, private readonly random: Random) {}

  /** Returns all targets that may get new requests. */
  selectAll (targets: readonly Target[]): readonly Target[] {
    return this.getGroups(targets).all
  }

  selectLocal (targets: readonly Target[]): readonly Target[] {
    return this.getGroups(targets).local
  }

  /** Returns the targets on this host, the near ones, and a sample of the farther ones. */
  select (targets: readonly Target[]): readonly Target[] {
    const { all, local, byDistance: { zone, region, beyond } } = this.getGroups(targets)
    const isSmall = zone.length <= MAX_CANDIDATES.zone && region.length <= MAX_CANDIDATES.region && beyond.length <= MAX_CANDIDATES.beyond
    if (isSmall) return all
    return [
      local,
      this.pickSample(zone, MAX_CANDIDATES.zone),
      this.pickSample(region, MAX_CANDIDATES.region),
      this.pickSample(beyond, MAX_CANDIDATES.beyond)
    ].flat()
  }

  /** The order of the group is random, so a run of it from a random start is a random sample. */
  private pickSample (group: readonly Target[], size: number): readonly Target[] {
    if (group.length <= size) return group
    const start = this.random.pickIndex(group.length)
    const run = group.slice(start, start + size)
    return run.length === size ? run : [...run, ...group.slice(0, size - run.length)]
  }

  private getGroups (targets: readonly Target[]): TargetGroups {
    return getOrMake(this.groups, targets, () => this.makeGroups(selectUsable(targets)))
  }

  private makeGroups (all: readonly Target[]): TargetGroups {
    const groups: TargetGroups = { all, local: [], byDistance: { zone: [], region: [], beyond: [] } }
    const ranked = all.map(target => ({ target, rank: this.random.next() })).sort((left, right) => left.rank - right.rank)
    for (const { target } of ranked) {
      if (target.host === this.locality.host) groups.local.push(target)
      else groups.byDistance[this.findDistance(target)].push(target)
    }
    return groups
  }

  private findDistance ({ zone, region }: Target): Distance {
    if (zone === this.locality.zone) return 'zone'
    return region === this.locality.region ? 'region' : 'beyond'
  }
}
