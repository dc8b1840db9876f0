/**
 * The answer of a host to a record of itself that outranks its own: left by an earlier process
 * whose clock was ahead, or marked lost or gone by another node.
 */
import type { OwnHost } from '../own.js'
import { compareRecords, compareStamps } from '../queries/order.js'
import type { HostRecord } from '../schema.js'

/** Gives a record above the one seen, or nothing when the own record is above it already. */
export function answerRecord (own: OwnHost, seen: HostRecord): HostRecord | undefined {
  const newest = own.newest
  if (newest !== undefined && compareRecords(seen, newest) <= 0) return undefined
  const isOverlay = newest !== undefined && compareStamps({ ...seen, lost: false, gone: undefined }, newest) === 0 && seen.lost
  if (!isOverlay) own.moveAbove(seen.incarnation)
  return own.makeRecord()
}
