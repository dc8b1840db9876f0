/**
 * Work for the targets of this host: refused here, before a byte of it reaches the target, or given a slot.
 */
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { Limits, RouteClass } from '../../document/index.js'
import type { Announcement, OwnHost } from '../../membership/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import { SlotGate } from '../slots.js'
import type { Permit } from '../slots.js'

const DEFAULT_QUEUE = 12
const RETRY_AFTER_MS = 50

export interface Admitted { announcement: Announcement, permit: Permit }

export interface AdmitRequest { target: string, routeClass: RouteClass, waitMs: number, signal: AbortSignal }

export class LocalTargets {
  private readonly gates = new Map<string, SlotGate>()

  constructor (private readonly own: OwnHost, private readonly getSnapshot: () => Snapshot, private readonly clock: Clock) {}

  async admit ({ target, routeClass, waitMs, signal }: AdmitRequest): Promise<Result<Admitted, Failure>> {
    const announcement = this.own.find(target)
    if (announcement === undefined) return Err(makeFailure('not-run', 503, 'no_target', `this host has no target ${target}`, RETRY_AFTER_MS))
    if (this.own.isLeaving || announcement.state === 'leaving') {
      return Err(makeFailure('not-run', 503, 'leaving', `target ${target} is leaving`, RETRY_AFTER_MS))
    }
    const permit = await this.getGate(announcement).acquire(routeClass, waitMs, signal)
    return permit.ok ? Ok({ announcement, permit: permit.val }) : permit
  }

  countInUse (): number {
    return [...this.gates.values()].reduce((sum, gate) => sum + gate.inUse, 0)
  }

  private getGate (announcement: Announcement): SlotGate {
    const limits: Limits | undefined = this.getSnapshot().entries.get(announcement.service)?.document?.limits
    const slots = Math.min(announcement.slots, limits?.slots ?? announcement.slots)
    const held = this.gates.get(announcement.target)
    const gate = held ?? new SlotGate(slots, limits?.queue ?? DEFAULT_QUEUE, this.clock)
    gate.resize(slots)
    if (held === undefined) this.gates.set(announcement.target, gate)
    return gate
  }
}
