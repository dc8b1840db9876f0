/**
 * The answer of a host to a record of itself that outranks its own: left by an earlier process
 * whose clock was ahead, or marked gone by another node.
 */
import type { LocalHost } from '../localhost.js'
import { compareRecords } from '../queries/order.js'
import type { HostRecord } from '../schema.js'

/** Gives a record above the one seen, or nothing when the own record is above it already. */
export function supersedeRecord (own: LocalHost, seen: HostRecord): HostRecord | undefined {
  const newest = own.newestRecord
  if (newest !== undefined && compareRecords(seen, newest) <= 0) return undefined
  own.supersedeIncarnation(seen.incarnation)
  return own.makeRecord()
}
