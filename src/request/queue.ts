/**
 * Requests that wait for a slot, by class. Classes are served in proportion to their weights, so
 * that none waits forever; inside a class the oldest goes first.
 */
import type { RouteClass } from '../document/index.js'

/** From the lowest class to the highest. */
const CLASSES = ['bulk', 'normal', 'critical'] as const satisfies readonly RouteClass[]

/** Served in 13 turns when all classes wait. A class's step is the inverse of its weight 1, 4 or 8. */
const VIRTUAL_TIME_STEPS: Record<RouteClass, number> = { bulk: 8, normal: 2, critical: 1 }

interface ClassLane<T> { routeClass: RouteClass, items: T[], nextVirtualTime: number }

export class WeightedFairQueue<T extends { routeClass: RouteClass }> {
  private readonly lanes: Array<ClassLane<T>> = CLASSES.map(routeClass => ({ routeClass, items: [], nextVirtualTime: 0 }))
  /** The turn of the class served last: a class that had nobody waiting does not save up turns. */
  private virtualTime = 0

  get length (): number {
    return this.lanes.reduce((sum, lane) => sum + lane.items.length, 0)
  }

  /** Requests of this class and higher ones, which mostly go before a new one of it. */
  countAhead (routeClass: RouteClass): number {
    return this.lanes.slice(CLASSES.indexOf(routeClass)).reduce((sum, lane) => sum + lane.items.length, 0)
  }

  push (item: T): void {
    const lane = this.getLane(item.routeClass)
    if (lane.items.length === 0) lane.nextVirtualTime = Math.max(lane.nextVirtualTime, this.virtualTime + VIRTUAL_TIME_STEPS[item.routeClass])
    lane.items.push(item)
  }

  /** The class whose turn comes first; of two, the higher one. */
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

  /** The newest of the lowest class that is lower than the given one. */
  removeBelow (routeClass: RouteClass): T | undefined {
    const below = this.lanes.slice(0, CLASSES.indexOf(routeClass))
    return below.find(lane => lane.items.length > 0)?.items.pop()
  }

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
