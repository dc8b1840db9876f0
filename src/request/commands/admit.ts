/**
 * Admits requests to the targets of this host. A request gets a slot of its target, or is rejected before any byte of it is sent to the target.
 */
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { RouteClass } from '../../document/index.js'
import type { Announcement, LocalHost } from '../../membership/index.js'
import { OpenGate, VERSION_CLOSED } from '../../rollout/index.js'
import type { VersionGate } from '../../rollout/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import type { AdmissionPolicy } from '../admission.js'
import { SlotLimiter } from '../slots.js'
import type { SlotLimits, Permit } from '../slots.js'
import type { RequestNeed, WorkControl } from '../workcontrol.js'
import { WorkLimiter } from '../worklimiter.js'
import type { TargetLoad } from '../load.js'

const RETRY_AFTER_MS = 50
const DEFAULT_QUEUE_LENGTH = 12

export interface AdmittedRequest { announcement: Announcement, permit: Permit }

export interface AdmitRequest {
  target: string
  routeClass: RouteClass
  leftMs: number
  objectiveMs?: number | undefined
  need?: RequestNeed | undefined
  signal: AbortSignal
}

export class LocalTargets {
  private readonly limiters = new Map<string, SlotLimiter>()

  constructor (
    private readonly localHost: LocalHost,
    private readonly getSnapshot: () => Snapshot,
    private readonly clock: Clock,
    private readonly admission?: AdmissionPolicy,
    private readonly versions: VersionGate = new OpenGate(),
    private readonly control?: WorkControl
  ) {}

  /**
   * Returns the target that is to get a request for `target`, whose name another node may have learned before its process was replaced.
   * After a power loss of many hosts all names are new, and a rejection of each request by an old name would cost an attempt. The
   * successor serves the same service and has no labels, which the route may have selected by.
   */
  resolveTarget (target: string, service: string): string {
    if (this.localHost.findAnnouncement(target) !== undefined) return target
    const [successor, ...others] = this.localHost.listAnnouncements().filter(announcement => announcement.service === service)
    if (successor === undefined || others.length > 0 || Object.keys(successor.labels).length > 0) return target
    return this.versions.isSuccessor(successor) ? successor.target : target
  }

  async admit ({ target, routeClass, leftMs, objectiveMs, need, signal }: AdmitRequest): Promise<Result<AdmittedRequest, Failure>> {
    const announcement = this.localHost.findAnnouncement(target)
    if (announcement === undefined) {
      this.applyLimits()
      return Err(makeFailure('not-run', 503, 'no_target', `this host has no registered target ${target}`, RETRY_AFTER_MS))
    }
    const unavailable = this.checkAvailable(target)
    if (unavailable !== undefined) return Err(unavailable)
    const permit = await this.getLimiter(announcement).acquire(routeClass, leftMs, signal, objectiveMs, need)
    if (permit.err) return permit
    const current = this.localHost.findAnnouncement(target)
    const closed = this.checkAvailable(target)
    if (current !== undefined && closed === undefined) return Ok({ announcement: current, permit: permit.val })
    permit.val.release()
    return Err(closed ?? makeLeavingFailure(target))
  }

  measureLoad (target: string): TargetLoad {
    return this.limiters.get(target)?.load ?? { used: 0, waiting: 0, slots: 0, freeInMs: 0 }
  }

  /** Records the figure of the machine of a target, in percent of its usual time. */
  recordMachine (target: string, percent: number): void {
    this.control?.model.recordMachine(target, percent, this.clock.monotonic())
  }

  countUsedSlots (): number {
    return [...this.limiters.values()].reduce((sum, limiter) => sum + limiter.usedSlots, 0)
  }

  /**
   * Must be called when a document or an announcement changes. New limits apply immediately; limiters of targets that no longer
   * exist are closed, and deleted once they are idle.
   */
  applyLimits (): void {
    for (const [target, limiter] of this.limiters) {
      const announcement = this.localHost.findAnnouncement(target)
      if (announcement !== undefined && this.checkAvailable(target) === undefined) {
        limiter.resize(this.getLimits(announcement))
        continue
      }
      limiter.close()
      if (announcement === undefined && limiter.isIdle) this.limiters.delete(target)
    }
  }

  private checkAvailable (target: string): Failure | undefined {
    if (this.isLeaving(target)) return makeLeavingFailure(target)
    const announcement = this.localHost.findAnnouncement(target)
    return announcement !== undefined && this.versions.isClosed(announcement) ? makeVersionClosedFailure(announcement) : undefined
  }

  private isLeaving (target: string): boolean {
    return this.localHost.isLeaving || this.localHost.findAnnouncement(target)?.state === 'leaving'
  }

  private getLimiter (announcement: Announcement): SlotLimiter {
    const existing = this.limiters.get(announcement.target)
    const limits = this.getLimits(announcement)
    if (existing !== undefined) {
      existing.resize(limits)
      return existing
    }
    const { clock, admission, control } = this
    const { target } = announcement
    const limiter = control === undefined ? new SlotLimiter(limits, clock, admission) : new WorkLimiter(limits, clock, admission, target, control)
    this.limiters.set(target, limiter)
    return limiter
  }

  /** A connection carries one request at a time, so the number of connections limits the concurrent requests as slots do. */
  private getLimits ({ service, slots, connections }: Announcement): SlotLimits {
    const limits = this.getSnapshot().entries.get(service)?.document?.limits
    return {
      slots: Math.min(slots, connections, limits?.slots ?? Infinity, limits?.connections ?? Infinity),
      queue: limits?.queue ?? DEFAULT_QUEUE_LENGTH
    }
  }
}

function makeLeavingFailure (target: string): Failure {
  return makeFailure('not-run', 503, 'leaving', `target ${target} is leaving and accepts no new requests`, RETRY_AFTER_MS)
}

function makeVersionClosedFailure ({ target, version }: Announcement): Failure {
  return makeFailure('not-run', 503, VERSION_CLOSED, `target ${target} has version ${version ?? ''}, which gets no new requests`, RETRY_AFTER_MS)
}
