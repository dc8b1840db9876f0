/**
 * Makes a new record of the local host that supersedes one read from the store or a peer. The other record was
 * left by an earlier process whose clock was ahead, or was marked as gone by another node.
 */
import type { LocalHost } from '../localhost.js'
import { compareRecords } from '../queries/order.js'
import type { HostRecord } from '../schema.js'

/** Returns a record that supersedes `seen`, or undefined if the newest local record does so already. */
export function supersedeRecord (localHost: LocalHost, seen: HostRecord): HostRecord | undefined {
  const newest = localHost.newestRecord
  if (newest !== undefined && compareRecords(seen, newest) <= 0) return undefined
  localHost.supersedeIncarnation(seen.incarnation)
  return localHost.makeRecord()
}
