/**
 * Work for the targets of this host: refused here, before a byte of it reaches the target, or given a slot.
 */
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { RouteClass } from '../../document/index.js'
import type { Announcement, LocalHost } from '../../membership/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import type { AdmissionPolicy } from '../admission.js'
import { SlotLimiter } from '../slots.js'
import type { SlotLimits, Permit } from '../slots.js'
import type { TargetLoad } from '../load.js'

const RETRY_AFTER_MS = 50
const DEFAULT_QUEUE_LENGTH = 12

export interface AdmittedRequest { announcement: Announcement, permit: Permit }

export interface AdmitRequest { target: string, routeClass: RouteClass, leftMs: number, objectiveMs?: number | undefined, signal: AbortSignal }

export class LocalTargets {
  private readonly limiters = new Map<string, SlotLimiter>()

  constructor (
    private readonly localHost: LocalHost,
    private readonly getSnapshot: () => Snapshot,
    private readonly clock: Clock,
    private readonly admission?: AdmissionPolicy
  ) {}

  async admit ({ target, routeClass, leftMs, objectiveMs, signal }: AdmitRequest): Promise<Result<AdmittedRequest, Failure>> {
    const announcement = this.localHost.findAnnouncement(target)
    if (announcement === undefined) {
      this.applyLimits()
      return Err(makeFailure('not-run', 503, 'no_target', `this host has no target ${target}`, RETRY_AFTER_MS))
    }
    if (this.isLeaving(target)) return Err(makeLeavingFailure(target))
    const permit = await this.getLimiter(announcement).acquire(routeClass, leftMs, signal, objectiveMs)
    if (permit.err) return permit
    const now = this.localHost.findAnnouncement(target)
    if (now !== undefined && !this.isLeaving(target)) return Ok({ announcement: now, permit: permit.val })
    permit.val.release()
    return Err(makeLeavingFailure(target))
  }

  measureLoad (target: string): TargetLoad {
    return this.limiters.get(target)?.load ?? { used: 0, waiting: 0, slots: 0, freeInMs: 0 }
  }

  countUsedSlots (): number {
    return [...this.limiters.values()].reduce((sum, gate) => sum + gate.usedSlots, 0)
  }

  /** To be called when a document or an announcement changed: new limits hold at once, gates of targets that are gone are dropped. */
  applyLimits (): void {
    for (const [target, gate] of this.limiters) {
      const announcement = this.localHost.findAnnouncement(target)
      if (announcement !== undefined && !this.isLeaving(target)) {
        gate.resize(this.getLimits(announcement))
        continue
      }
      gate.close()
      if (announcement === undefined && gate.isIdle) this.limiters.delete(target)
    }
  }

  private isLeaving (target: string): boolean {
    return this.localHost.isLeaving || this.localHost.findAnnouncement(target)?.state === 'leaving'
  }

  private getLimiter (announcement: Announcement): SlotLimiter {
    const held = this.limiters.get(announcement.target)
    const limits = this.getLimits(announcement)
    if (held !== undefined) {
      held.resize(limits)
      return held
    }
    const gate = new SlotLimiter(limits, this.clock, this.admission)
    this.limiters.set(announcement.target, gate)
    return gate
  }

  /** A connection carries one request at a time, so fewer connections than slots are the tighter limit. */
  private getLimits ({ service, slots, connections }: Announcement): SlotLimits {
    const limits = this.getSnapshot().entries.get(service)?.document?.limits
    return {
      slots: Math.min(slots, connections, limits?.slots ?? Infinity, limits?.connections ?? Infinity),
      queue: limits?.queue ?? DEFAULT_QUEUE_LENGTH
    }
  }
}

function makeLeavingFailure (target: string): Failure {
  return makeFailure('not-run', 503, 'leaving', `target ${target} is leaving`, RETRY_AFTER_MS)
}
