/**
 * Estimates how long a request uses its slot, as the product of three factors that change for different reasons: the work of the kind of
 * request, the speed of the target, and the figure that the target's machine reports. The load pattern is a service with short and
 * long requests on targets whose speeds differ by a factor of three, some of which share their machine with other workloads: one mean
 * time for all of them is wrong for most.
 */
import { getOrMake } from '../core/index.js'

/** Weight of a new sample in the estimate of the work of a kind, which changes rarely. */
const WORK_SAMPLE_SHARE = 0.05
/** Weight of a new sample in the estimate of the speed of a target, which changes within seconds after its start. */
const SPEED_SAMPLE_SHARE = 0.15
/** A single sample counts for at most this many times its expectation, so that one stuck request does not close a target. */
const MAX_SAMPLE_RATIO = 4
/** Half-life of what is known of a target without new samples. A target that is refused its requests yields none. */
const SPEED_HALF_LIFE_MS = 2_000
/** Half-life of the latest figure of a machine, which changes many times a second. It then returns to its mean. */
const MACHINE_HALF_LIFE_MS = 150
const MACHINE_MEAN_SHARE = 0.02
/** Targets report the figure in each response, so a machine without one for this long no longer reports it. */
const MACHINE_MAX_AGE_MS = 10_000
/** Bounds of the factor that a report may set, since a faulty report must not close a target. */
const MACHINE_BOUNDS = { least: 0.2, most: 10 } as const
const PERCENT = 100
/** Assumed work of a request in a service without any sample. */
const DEFAULT_WORK_MS = 100
/** Kinds and targets without a sample for this long are evicted. */
const UNUSED_MS = 300_000

/** What a request needs. `kind` is a kind of request of the service, with the same work for all requests of the kind on average. */
export interface WorkKind { service: string, kind: string }

interface Estimate { value: number, samples: number, at: number }

interface Machine { factor: number, mean: number, at: number }

export class WorkModel {
  private readonly works = new Map<string, Estimate>()
  private readonly speeds = new Map<string, Estimate>()
  private readonly machines = new Map<string, Machine>()
  private evictedAt = 0

  /** Returns the work in milliseconds on a target of the usual speed. A kind without samples has the mean work of its service. */
  getWork ({ service, kind }: WorkKind): number {
    return (this.works.get(makeWorkKey(service, kind)) ?? this.works.get(service))?.value ?? DEFAULT_WORK_MS
  }

  /** Returns the time on a target relative to that on one of the usual speed. Above 1 is slower. */
  getSpeed (target: string, at: number): number {
    const speed = this.speeds.get(target)
    return speed === undefined ? 1 : 1 + (speed.value - 1) * 0.5 ** ((at - speed.at) / SPEED_HALF_LIFE_MS)
  }

  /** Returns the time on the machine of a target relative to the usual time there, 1 if the machine does not report it. */
  getMachine (target: string, at: number): number {
    const machine = this.machines.get(target)
    if (machine === undefined || at - machine.at > MACHINE_MAX_AGE_MS) return 1
    return machine.mean + (machine.factor - machine.mean) * 0.5 ** ((at - machine.at) / MACHINE_HALF_LIFE_MS)
  }

  /** Returns the expected time for which a request that starts now uses its slot, in milliseconds. */
  computeTime (need: WorkKind, target: string, at: number): number {
    return this.getWork(need) * this.getSpeed(target, at) * this.getMachine(target, at)
  }

  /** `percent` is the figure that the machine reports, 100 as the usual value. */
  recordMachine (target: string, percent: number, at: number): void {
    const factor = Math.min(MACHINE_BOUNDS.most, Math.max(MACHINE_BOUNDS.least, percent / PERCENT))
    const machine = getOrMake(this.machines, target, () => ({ factor, mean: factor, at }))
    machine.mean += MACHINE_MEAN_SHARE * (factor - machine.mean)
    machine.factor = factor
    machine.at = at
  }

  /** `ms` is the time for which a request used its slot, and `machine` the factor of the machine during that time. */
  recordTime (need: WorkKind, target: string, ms: number, machine: number, at: number): void {
    const speed = getOrMake(this.speeds, target, () => ({ value: 1, samples: 0, at }))
    speed.value = this.getSpeed(target, at)
    const usualMs = ms / machine / speed.value
    this.recordWork(need.service, usualMs, at)
    const expectedMs = this.recordWork(makeWorkKey(need.service, need.kind), usualMs, at)
    speed.value *= 1 + SPEED_SAMPLE_SHARE * (computeCappedRatio(usualMs / expectedMs) - 1)
    speed.samples += 1
    speed.at = at
    this.evictUnused(at)
  }

  /** Returns the estimate before this sample. The first samples are averaged, so that the estimate does not keep the first one. */
  private recordWork (key: string, ms: number, at: number): number {
    const work = getOrMake(this.works, key, () => ({ value: Math.max(1, ms), samples: 0, at }))
    const before = work.value
    work.samples += 1
    work.value = Math.max(1, before * (1 + Math.max(WORK_SAMPLE_SHARE, 1 / work.samples) * (computeCappedRatio(ms / before) - 1)))
    work.at = at
    return before
  }

  private evictUnused (at: number): void {
    if (at - this.evictedAt < UNUSED_MS) return
    this.evictedAt = at
    for (const entries of [this.works, this.speeds, this.machines]) {
      for (const [key, entry] of entries) if (at - entry.at > UNUSED_MS) entries.delete(key)
    }
  }
}

function makeWorkKey (service: string, kind: string): string {
  return `${service} ${kind}`
}

function computeCappedRatio (ratio: number): number {
  return Math.min(MAX_SAMPLE_RATIO, ratio)
}
