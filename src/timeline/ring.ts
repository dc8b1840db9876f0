/**
 * A bounded buffer of the last events of one process, and the hybrid logical clock of the process.
 */
import type { Clock } from '../core/index.js'
import type { HybridTime, TimelineEvent } from './schema.js'

export const RING_CAPACITY_EVENTS = 4_096

export class HybridLogicalClock {
  private wall = 0
  private counter = 0

  constructor (private readonly clock: Clock) {}

  /** Returns a time later than every time that this clock has returned or received. */
  advance (received?: HybridTime): HybridTime {
    const wall = Math.max(this.clock.now(), this.wall, received?.wall ?? 0)
    const counters = [wall === this.wall ? this.counter : -1, wall === received?.wall ? received.counter : -1]
    this.counter = Math.max(...counters) + 1
    this.wall = wall
    return { wall, counter: this.counter }
  }
}

export class EventRing {
  private events: TimelineEvent[] = []

  /** Commands only: see commands/record.ts. */
  push (event: TimelineEvent): void {
    this.events.push(event)
    if (this.events.length > RING_CAPACITY_EVENTS * 2) this.events = this.events.slice(-RING_CAPACITY_EVENTS)
  }

  list (): readonly TimelineEvent[] {
    return this.events.slice(-RING_CAPACITY_EVENTS)
  }
}
