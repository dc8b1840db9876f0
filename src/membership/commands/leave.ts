/**
 * A host that leaves: its targets get no new work from any node that has the record.
 */
import type { OwnHost } from '../own.js'
import type { HostRecord } from '../schema.js'

export function leaveHost (own: OwnHost): HostRecord {
  own.markLeaving()
  return own.makeRecord()
}
