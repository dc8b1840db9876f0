/**
 * Queues requests for a slot by class. Weighted fair queueing serves the classes in proportion to their weights, so that no class
 * starves; within a class the oldest request is served first.
 */
import type { RouteClass } from '../document/index.js'

/** In ascending order of priority. */
const CLASSES = ['bulk', 'normal', 'critical'] as const satisfies readonly RouteClass[]

/**
 * Virtual time that one request of a class takes: the inverse of the weight of the class, which is 1, 4 or 8. While all classes have
 * queued requests, 13 requests are one full round.
 */
const VIRTUAL_TIME_STEPS: Record<RouteClass, number> = { bulk: 8, normal: 2, critical: 1 }

interface ClassLane<T> { routeClass: RouteClass, items: T[], nextVirtualTime: number }

export class WeightedFairQueue<T extends { routeClass: RouteClass }> {
  private readonly lanes: Array<ClassLane<T>> = CLASSES.map(routeClass => ({ routeClass, items: [], nextVirtualTime: 0 }))
  /** Virtual time of the class served last. A class whose lane was empty starts from here, so it gets no credit for that time. */
  private virtualTime = 0

  get length (): number {
    return this.lanes.reduce((sum, lane) => sum + lane.items.length, 0)
  }

  /** Counts the queued requests of this class and higher ones, which are mostly served before a new request of this class. */
  countAhead (routeClass: RouteClass): number {
    return this.lanes.slice(CLASSES.indexOf(routeClass)).reduce((sum, lane) => sum + lane.items.length, 0)
  }

  push (item: T): void {
    const lane = this.getLane(item.routeClass)
    if (lane.items.length === 0) lane.nextVirtualTime = Math.max(lane.nextVirtualTime, this.virtualTime + VIRTUAL_TIME_STEPS[item.routeClass])
    lane.items.push(item)
  }

  /** Removes the oldest request of the class with the lowest virtual time; on a tie, of the higher class. */
  removeNext (): T | undefined {
    let first: ClassLane<T> | undefined
    for (const lane of this.lanes) {
      if (lane.items.length > 0 && (first === undefined || lane.nextVirtualTime <= first.nextVirtualTime)) first = lane
    }
    if (first === undefined) return undefined
    this.virtualTime = first.nextVirtualTime
    first.nextVirtualTime += VIRTUAL_TIME_STEPS[first.routeClass]
    return first.items.shift()
  }

  /** Removes the newest request of the lowest class, if that is lower than the given class. */
  removeBelow (routeClass: RouteClass): T | undefined {
    const below = this.lanes.slice(0, CLASSES.indexOf(routeClass))
    return below.find(lane => lane.items.length > 0)?.items.pop()
  }

  /** Removes the newest request of the lowest class. */
  removeLowest (): T | undefined {
    return this.lanes.find(lane => lane.items.length > 0)?.items.pop()
  }

  remove (item: T): boolean {
    const { items } = this.getLane(item.routeClass)
    const index = items.indexOf(item)
    if (index >= 0) items.splice(index, 1)
    return index >= 0
  }

  private getLane (routeClass: RouteClass): ClassLane<T> {
    return this.lanes[CLASSES.indexOf(routeClass)] as ClassLane<T>
  }
}
