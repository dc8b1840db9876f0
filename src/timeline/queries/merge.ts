/**
 * Merges the events of all processes into one order.
 */
import type { TimelineEvent } from '../schema.js'

export function mergeEvents (rings: ReadonlyArray<readonly TimelineEvent[]>): TimelineEvent[] {
  return rings.flat().sort((left, right) =>
    left.wall - right.wall || left.counter - right.counter || (left.node < right.node ? -1 : 1))
}
