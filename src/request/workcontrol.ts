/**
 * What the decisions by expected time share on one node, and when they are in force. Where the deployment does not call for them, the
 * decisions by number of requests apply.
 */
import type { TargetLoad } from './load.js'
import { WorkModel } from './work.js'
import type { WorkKind } from './work.js'

/** What a request needs, as far as it is known before it runs. */
export interface RequestNeed extends WorkKind {
  /** Time that the run which made this nested call has used its slot so far, 0 for other requests. */
  spentMs: number
}

/** Requests of one route and method are likely to need similar work. Nested calls may use the routes of other callers. */
export function makeNeed (service: string, route: string, method: string, spentMs = 0): RequestNeed {
  return { service, kind: `${route} ${method}${spentMs > 0 ? ' nested' : ''}`, spentMs }
}

export class WorkControl {
  /** `hasAccounts` returns true while accounts are in force, whose classes have to share targets that are too few for all. */
  constructor (private readonly hasAccounts: () => boolean, readonly model: WorkModel = new WorkModel()) {}

  /** Returns true if requests are to be decided on by expected time. */
  get isInForce (): boolean {
    return this.hasAccounts()
  }

  /** Records what the load report of a response says about the request and the machine of its target. */
  recordReport (target: string, need: WorkKind, { serviceMs, machinePercent }: TargetLoad, at: number): void {
    const before = this.model.getMachine(target, at)
    if (machinePercent !== undefined) this.model.recordMachine(target, machinePercent, at)
    if (serviceMs !== undefined) this.model.recordTime(need, target, serviceMs, (before + this.model.getMachine(target, at)) / 2, at)
  }
}
