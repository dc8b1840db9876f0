/**
 * A host that leaves: its targets get no new work from any node that has the record.
 */
import type { OwnHost } from '../own.js'
import type { HostRecord } from '../schema.js'

/** Gives the record to spread, or nothing when the host was leaving already. */
export function leaveHost (own: OwnHost): HostRecord | undefined {
  return own.markLeaving() ? own.makeRecord() : undefined
}
