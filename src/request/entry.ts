/**
 * Decides whether a request is refused before its first attempt. The load pattern is overload in which each request that no target has
 * room for costs up to four attempts between nodes, its client returns at once, and a run whose nested calls find no room has used its
 * slot for nothing.
 */
import type { Clock, Random } from '../core/index.js'
import { getOrMake } from '../core/index.js'
import type { RouteClass } from '../document/index.js'
import type { ExpectedCalls } from './callrates.js'
import { SlidingSum } from './slidingsum.js'

/** Calls to a service that compete with each other: those of a class, or the nested calls. */
export type EntryGroup = RouteClass | 'nested'

export interface EntryState { service: string, group: EntryGroup, isRefusing: boolean }

export abstract class EntryPolicy {
  /** Records a call to a service and whether it found room there. A call that was refused before its first attempt did not. */
  abstract recordCall (service: string, group: EntryGroup, hasFoundRoom: boolean): void
  /** Returns true if a call is to be refused before its first attempt. */
  abstract isRefused (service: string, group: EntryGroup): boolean
  /** Returns true if a run is to be refused since the calls that it is expected to make would not find room. */
  abstract isRunRefused (calls: readonly ExpectedCalls[]): boolean
  /** Returns the time after which the client of a refused call may return, different for each call. */
  abstract computeRetryAfter (service: string, group: EntryGroup, objectiveMs: number): number
}

/** Nodes see some requests of a service each second, so that less time would rest on too few of them. */
const WINDOW_MS = 2_000
/**
 * A node sends calls until they are this many times those that find room. Below 2 it would refuse calls by chance that other targets have
 * room for; more would cost attempts.
 */
const SENT_PER_ACCEPTED = 2
/** The same for nested calls. Each that is refused wastes the slot time of its run, so runs are refused once a few are. */
const NESTED_PER_ACCEPTED = 1.15
const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 5_000

interface Counts { calls: SlidingSum, accepted: SlidingSum }

/**
 * Refuses the part of the calls that the targets of a service would refuse, by the outcomes of the last seconds. Calls that are let through
 * tell when there is room again, so no group is refused altogether.
 */
export class SharedRoomEntryPolicy extends EntryPolicy {
  private readonly counts = new Map<string, Counts>()
  private readonly refusing = new Map<string, boolean>()
  private readonly reportedAt = new Map<string, number>()

  /** `onState` is called when the node begins or ends to refuse calls to a service, or runs that make them. */
  constructor (private readonly clock: Clock, private readonly random: Random, private readonly onState: (state: EntryState) => void = () => {}) {
    super()
  }

  override recordCall (service: string, group: EntryGroup, hasFoundRoom: boolean): void {
    const at = this.clock.monotonic()
    const counts = getOrMake(this.counts, `${service} ${group}`, () => ({ calls: new SlidingSum(WINDOW_MS), accepted: new SlidingSum(WINDOW_MS) }))
    counts.calls.add(at, 1)
    if (hasFoundRoom) counts.accepted.add(at, 1)
    this.reportState(service, group)
  }

  override isRefused (service: string, group: EntryGroup): boolean {
    // The runs of nested calls hold slots, so a nested call is worth its attempts.
    return group !== 'nested' && this.random.next() < this.computeRefusedShare(service, group, SENT_PER_ACCEPTED)
  }

  override isRunRefused (calls: readonly ExpectedCalls[]): boolean {
    const startedShare = calls.reduce((share, { service, calls: count }) =>
      share * (1 - this.computeRefusedShare(service, 'nested', NESTED_PER_ACCEPTED)) ** count, 1)
    return this.random.next() >= startedShare
  }

  override computeRetryAfter (service: string, group: EntryGroup, objectiveMs: number): number {
    const acceptedShare = Math.max(0.1, 1 - this.computeRefusedShare(service, group, 1))
    const meanMs = Math.min(MAX_RETRY_AFTER_MS / 1.5, Math.max(MIN_RETRY_AFTER_MS, objectiveMs) / acceptedShare)
    return Math.round(meanMs * (0.5 + this.random.next()))
  }

  /** Returns the share of the calls by which they exceed `limit` times those that find room. */
  private computeRefusedShare (service: string, group: EntryGroup, limit: number): number {
    const counts = this.counts.get(`${service} ${group}`)
    if (counts === undefined) return 0
    const at = this.clock.monotonic()
    const calls = counts.calls.read(at)
    return Math.max(0, (calls - limit * counts.accepted.read(at)) / (calls + 1))
  }

  private reportState (service: string, group: EntryGroup): void {
    const isRefusing = this.computeRefusedShare(service, group, group === 'nested' ? NESTED_PER_ACCEPTED : SENT_PER_ACCEPTED) > 0
    const key = `${service} ${group}`
    const at = this.clock.monotonic()
    // Around the limit the state would change with each call.
    if (isRefusing === (this.refusing.get(key) ?? false) || at - (this.reportedAt.get(key) ?? -Infinity) < WINDOW_MS) return
    this.reportedAt.set(key, at)
    this.refusing.set(key, isRefusing)
    this.onState({ service, group, isRefusing })
  }
}
