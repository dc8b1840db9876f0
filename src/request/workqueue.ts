/**
 * Queues requests for the slots of one target by expected time. The load pattern is overload in which a slot spent on a response that
 * comes late is lost to a request that would have been in time, and in which a run holds its slot while its nested calls wait.
 *
 * A plan lists when each waiting request is expected to get a slot and to be answered. Requests that can meet their objective go first,
 * in proportion to the weights of their classes, by work instead of by number. The others get a slot that is free at once. The rest is
 * refused: a request that can be in time elsewhere should not wait here.
 */
import type { RouteClass } from '../document/index.js'

/** Times are in milliseconds on the monotonic clock. */
export interface WaitingWork {
  routeClass: RouteClass
  /** The time for which the request is expected to use its slot. */
  expectedMs: number
  /** Time that the run which made this nested call has used its slot so far, 0 for other requests. */
  spentMs: number
  /** A response until then has its full value. */
  objectiveAt: number
  deadlineAt: number
}

export interface Plan<T> {
  /** The requests in the order in which they are to be served. */
  order: T[]
  /** Requests that are to be refused at once. */
  refused: T[]
  /** When a slot is expected to be free for a request behind all others. */
  freeAt: number
}

/** In ascending order of priority. */
const CLASSES = ['bulk', 'normal', 'critical'] as const satisfies readonly RouteClass[]
/** The inverse of the weights 1, 4 and 8 of the classes, as in WeightedFairQueue. */
const VIRTUAL_TIME_STEPS: Record<RouteClass, number> = { bulk: 8, normal: 2, critical: 1 }
/** Below that of the highest class: whatever the class of a nested call, refusing it wastes a run that was admitted by its own class. */
const NESTED_VIRTUAL_TIME_STEP = 0.25
/** The time of a request varies, so one counts as in time if it would still be with a time that is longer by this factor. */
const TIME_MARGIN = 1.4
/** The refusal or response must reach the caller-side node, which may be in another region, before that node stops waiting. */
const RESPONSE_MARGIN_MS = 30

interface Lane<T> { step: number, items: T[], nextVirtualTime: number }

export class WorkQueue<T extends WaitingWork> {
  private readonly lanes = CLASSES.flatMap(routeClass => [makeLane<T>(VIRTUAL_TIME_STEPS[routeClass]), makeLane<T>(NESTED_VIRTUAL_TIME_STEP)])
  private virtualTime = 0

  get length (): number {
    return this.lanes.reduce((sum, { items }) => sum + items.length, 0)
  }

  list (): T[] {
    return this.lanes.flatMap(({ items }) => items)
  }

  push (item: T): void {
    const lane = this.getLane(item)
    if (lane.items.length === 0) lane.nextVirtualTime = Math.max(lane.nextVirtualTime, this.virtualTime + computeStep(lane, item))
    lane.items.push(item)
  }

  remove (item: T): boolean {
    const { items } = this.getLane(item)
    const index = items.indexOf(item)
    if (index >= 0) items.splice(index, 1)
    return index >= 0
  }

  /** Removes a request that is given its slot. What its class gets next takes its work into account. */
  admit (item: T): void {
    const lane = this.getLane(item)
    this.remove(item)
    this.virtualTime = Math.max(this.virtualTime, lane.nextVirtualTime)
    const [next = item] = lane.items
    lane.nextVirtualTime += computeStep(lane, next)
  }

  /** `slotFreeAt` are the times at which the slots in use are expected to be free. */
  derivePlan (at: number, slotFreeAt: readonly number[]): Plan<T> {
    const slots = [...slotFreeAt].sort((left, right) => left - right)
    const plan: Plan<T> = { order: [], refused: [], freeAt: at }
    const late: T[] = []
    for (const item of this.listFairly()) {
      const startAt = slots[0] ?? Infinity
      if (startAt <= computeLatestStart(item)) place(item, slots, plan.order)
      else late.push(item)
    }
    for (const item of late.sort(compareLate)) {
      const startAt = Math.max(at, slots[0] ?? Infinity)
      // A request that would be late gets a slot only if one is free at once, since it would take it from one that can be in time.
      const isHopeless = startAt + item.expectedMs + RESPONSE_MARGIN_MS > item.deadlineAt || startAt > at
      if (isHopeless) {
        plan.refused.push(item)
        continue
      }
      place(item, slots, plan.order)
    }
    return { ...plan, freeAt: Math.max(at, slots[0] ?? Infinity) }
  }

  /** Returns the newest request of the lowest class, a nested call only if there is no other. */
  findLeast (): T | undefined {
    return this.lanes.find(({ items }) => items.length > 0)?.items.at(-1)
  }

  /** Lists the requests by virtual time, each lane from its oldest. */
  private listFairly (): T[] {
    const lanes = this.lanes.filter(({ items }) => items.length > 0).map(lane => ({ ...lane, items: [...lane.items] }))
    const listed: T[] = []
    for (;;) {
      let first: Lane<T> | undefined
      for (const lane of lanes) if (lane.items.length > 0 && (first === undefined || lane.nextVirtualTime <= first.nextVirtualTime)) first = lane
      const item = first?.items.shift()
      if (first === undefined || item === undefined) return listed
      listed.push(item)
      const [next = item] = first.items
      first.nextVirtualTime += computeStep(first, next)
    }
  }

  /** Nested calls have a lane of their own beside the other requests of their class. */
  private getLane ({ routeClass, spentMs }: WaitingWork): Lane<T> {
    return this.lanes[CLASSES.indexOf(routeClass) * 2 + (spentMs > 0 ? 1 : 0)] as Lane<T>
  }
}

/** Returns the latest time at which a request that gets a slot is expected to meet its objective. */
export function computeLatestStart ({ expectedMs, objectiveAt }: WaitingWork): number {
  return objectiveAt - expectedMs * TIME_MARGIN - RESPONSE_MARGIN_MS
}

function makeLane<T> (step: number): Lane<T> {
  return { step, items: [], nextVirtualTime: 0 }
}

/** A nested call counts less the more work would be lost with it: the work of its run is spent already. */
function computeStep ({ step }: Lane<unknown>, { expectedMs, spentMs }: WaitingWork): number {
  return step * expectedMs * expectedMs / (expectedMs + spentMs)
}

/** The higher class first, then the least work, which leaves most room for the others. */
function compareLate (left: WaitingWork, right: WaitingWork): number {
  return CLASSES.indexOf(right.routeClass) - CLASSES.indexOf(left.routeClass) || left.expectedMs - right.expectedMs
}

/** Gives the request the first slot that becomes free. */
function place<T extends WaitingWork> (item: T, slots: number[], order: T[]): void {
  order.push(item)
  slots[0] = (slots[0] ?? Infinity) + item.expectedMs
  slots.sort((left, right) => left - right)
}
