/**
 * Records events of one process in its ring.
 */
import type { EventRing, HybridLogicalClock } from '../ring.js'
import type { EventDetail, EventKind } from '../schema.js'

export class EventRecorder {
  constructor (
    private readonly ring: EventRing, private readonly clock: HybridLogicalClock, private readonly node: string, private readonly zone: string
  ) {}

  record (kind: EventKind, text: string, detail: EventDetail = {}): void {
    this.ring.push({ ...this.clock.advance(), node: this.node, zone: this.zone, kind, text, ...detail })
  }
}
