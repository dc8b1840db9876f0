/**
 * Picks the target by expected time: work of the request, speed of the target and figure of its machine, plus the expected time until a
 * slot is free, in the unit in which the target's node admits requests. While this is not in force for a target, its delay is that of
 * LeastDelayPicker.
 */
import type { Clock, Random } from '../core/index.js'
import type { Target } from '../membership/index.js'
import type { NodeLocality } from './candidates.js'
import { LeastDelayPicker } from './delaypicker.js'
import type { TargetLoad } from './load.js'
import type { PickRequest } from './picker.js'
import type { DelayParts, TargetStats } from './stats.js'
import { TargetTable, UNUSED_TARGET_MS } from './targettable.js'
import type { RequestNeed, WorkControl } from './workcontrol.js'

/** Half-life of a reported wait. The nodes that caused it send more requests, so it outlasts the requests that it counted. */
const WAIT_HALF_LIFE_MS = 1_000

/** What a target was reported to have before it, and what this node has sent there since. */
class PendingWork {
  readonly inFlight = 0
  usedAt = 0
  private freeInMs = 0
  private freeSlots = 0
  private reportedAt = -Infinity
  private sentMs = 0
  private sentCount = 0

  countSend (at: number, expectedMs: number): void {
    this.usedAt = at
    this.sentMs += expectedMs
    this.sentCount += 1
  }

  setLoad (at: number, { used, waiting, slots, freeInMs }: TargetLoad): void {
    this.usedAt = at
    this.reportedAt = at
    this.freeInMs = freeInMs
    this.freeSlots = Math.max(0, slots - used - waiting)
    this.sentMs = 0
    this.sentCount = 0
  }

  computeWait (at: number, slots: number): number {
    const ageMs = Math.min(at - this.reportedAt, UNUSED_TARGET_MS)
    const reportedMs = this.freeInMs * 0.5 ** (ageMs / WAIT_HALF_LIFE_MS)
    const share = this.sentCount === 0 ? 0 : Math.max(0, this.sentCount + 1 - this.freeSlots) / (this.sentCount + 1)
    return reportedMs + Math.max(0, this.sentMs * share / Math.max(1, slots) - ageMs)
  }
}

export class WorkPicker extends LeastDelayPicker {
  private readonly pending = new TargetTable(() => new PendingWork())
  private clearedAt = 0

  constructor (locality: NodeLocality, clock: Clock, random: Random, private readonly control: WorkControl) {
    super(locality, clock, random)
  }

  override beginAttempt (target: Target, need?: RequestNeed): void {
    super.beginAttempt(target)
    const at = this.clock.monotonic()
    if (need !== undefined && this.control.isInForce) {
      this.pending.get(target).countSend(at, this.control.model.computeTime(need, target.id, at))
    }
    if (at - this.clearedAt < UNUSED_TARGET_MS) return
    this.clearedAt = at
    this.pending.evictUnused(at)
  }

  override recordLoad (target: Target, load: TargetLoad): void {
    super.recordLoad(target, load)
    const at = this.clock.monotonic()
    if (load.slots > 0 && this.control.isInForce) this.pending.get(target).setLoad(at, load)
  }

  /** Returns the expected time of a request, from now to its response. */
  computeExpected (target: Target, need: RequestNeed): number {
    const at = this.clock.monotonic()
    const waitMs = this.pending.find(target)?.computeWait(at, target.slots) ?? 0
    return this.control.model.computeTime(need, target.id, at) + waitMs
  }

  protected override computeDelayParts (target: Target, stats: TargetStats, at: number, request: PickRequest): DelayParts {
    const { need } = request
    if (need === undefined || !this.control.isInForce) return super.computeDelayParts(target, stats, at, request)
    const serviceMs = this.control.model.computeTime(need, target.id, at)
    // The reported wait is exact but soon out of date; the number of requests tells how likely a slot is still free.
    const countedMs = stats.computeQueueDelay(at, target.slots, serviceMs)
    const reportedMs = this.computeExpected(target, need) - serviceMs
    return { serviceMs, queueMs: Math.max(reportedMs, countedMs), failureMs: stats.computeFailurePenalty(at) }
  }
}
