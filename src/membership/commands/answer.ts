/**
 * The answer of a host to a record of itself that outranks its own: left by an earlier process
 * whose clock was ahead, or marked lost or gone by another node.
 */
import type { OwnHost } from '../own.js'
import { compareRecords } from '../queries/order.js'
import type { HostRecord, Stamp } from '../schema.js'

/** Gives a record above the one seen, or nothing when the own record is above it already. */
export function answerRecord (own: OwnHost, seen: Stamp): HostRecord | undefined {
  if (compareRecords(seen, own.stamp) <= 0) return undefined
  const { incarnation, sequence } = own.stamp
  const isOverlay = seen.incarnation === incarnation && seen.sequence === sequence
  if (!isOverlay) own.moveAbove(seen.incarnation)
  return own.makeRecord()
}
