/**
 * A host that leaves: its targets get no new work from any node that has the record.
 */
import type { LocalHost } from '../localhost.js'
import type { HostRecord } from '../schema.js'

/** Gives the record to spread, or nothing when the host was leaving already. */
export function markHostLeaving (own: LocalHost): HostRecord | undefined {
  return own.markLeaving() ? own.makeRecord() : undefined
}
