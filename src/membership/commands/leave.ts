/**
 * Marks the local host as leaving. A node that has the new record sends no new requests to its targets.
 */
import type { LocalHost } from '../localhost.js'
import type { HostRecord } from '../schema.js'

/** Returns the record to send to the peers, or undefined if the host was already leaving. */
export function markHostLeaving (localHost: LocalHost): HostRecord | undefined {
  return localHost.markLeaving() ? localHost.makeRecord() : undefined
}
