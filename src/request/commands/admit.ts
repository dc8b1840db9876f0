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
import type { GateLimits, Permit } from '../slots.js'
import type { Load } from '../load.js'

const RETRY_AFTER_MS = 50
const DEFAULT_QUEUE = 12

export interface Admitted { announcement: Announcement, permit: Permit }

export interface AdmitRequest { target: string, routeClass: RouteClass, leftMs: number, objectiveMs?: number | undefined, signal: AbortSignal }

export class LocalTargets {
  private readonly gates = new Map<string, SlotLimiter>()

  constructor (
    private readonly own: LocalHost,
    private readonly getSnapshot: () => Snapshot,
    private readonly clock: Clock,
    private readonly admission?: AdmissionPolicy
  ) {}

  async admit ({ target, routeClass, leftMs, objectiveMs, signal }: AdmitRequest): Promise<Result<Admitted, Failure>> {
    const announcement = this.own.findAnnouncement(target)
    if (announcement === undefined) {
      this.applyLimits()
      return Err(makeFailure('not-run', 503, 'no_target', `this host has no target ${target}`, RETRY_AFTER_MS))
    }
    if (this.isLeaving(target)) return Err(makeLeavingFailure(target))
    const permit = await this.getGate(announcement).acquire(routeClass, leftMs, signal, objectiveMs)
    if (permit.err) return permit
    const now = this.own.findAnnouncement(target)
    if (now !== undefined && !this.isLeaving(target)) return Ok({ announcement: now, permit: permit.val })
    permit.val.release()
    return Err(makeLeavingFailure(target))
  }

  measureLoad (target: string): Load {
    return this.gates.get(target)?.load ?? { used: 0, waiting: 0, slots: 0, freeInMs: 0 }
  }

  countUsedSlots (): number {
    return [...this.gates.values()].reduce((sum, gate) => sum + gate.inUse, 0)
  }

  /** To be called when a document or an announcement changed: new limits hold at once, gates of targets that are gone are dropped. */
  applyLimits (): void {
    for (const [target, gate] of this.gates) {
      const announcement = this.own.findAnnouncement(target)
      if (announcement !== undefined && !this.isLeaving(target)) {
        gate.resize(this.getLimits(announcement))
        continue
      }
      gate.close()
      if (announcement === undefined && gate.isIdle) this.gates.delete(target)
    }
  }

  private isLeaving (target: string): boolean {
    return this.own.isLeaving || this.own.findAnnouncement(target)?.state === 'leaving'
  }

  private getGate (announcement: Announcement): SlotLimiter {
    const held = this.gates.get(announcement.target)
    const limits = this.getLimits(announcement)
    if (held !== undefined) {
      held.resize(limits)
      return held
    }
    const gate = new SlotLimiter(limits, this.clock, this.admission)
    this.gates.set(announcement.target, gate)
    return gate
  }

  /** A connection carries one request at a time, so fewer connections than slots are the tighter limit. */
  private getLimits ({ service, slots, connections }: Announcement): GateLimits {
    const limits = this.getSnapshot().entries.get(service)?.document?.limits
    return {
      slots: Math.min(slots, connections, limits?.slots ?? Infinity, limits?.connections ?? Infinity),
      queue: limits?.queue ?? DEFAULT_QUEUE
    }
  }
}

function makeLeavingFailure (target: string): Failure {
  return makeFailure('not-run', 503, 'leaving', `target ${target} is leaving`, RETRY_AFTER_MS)
}
