/**
 * Merges host records into the member table. A record that does not supersede the current one changes
 * nothing, so records may arrive twice, late or in any order.
 */
import { compareRecords } from '../queries/order.js'
import type { HostRecord } from '../schema.js'
import type { MemberTable } from '../table.js'

/** Returns the records that were stored. `at` is the local monotonic time. */
export function mergeRecords (table: MemberTable, records: readonly HostRecord[], at: number): HostRecord[] {
  const newest = new Map<string, HostRecord>()
  for (const record of records) {
    const current = newest.get(record.host) ?? table.findNewest(record.host)
    if (current === undefined || compareRecords(record, current) > 0) newest.set(record.host, record)
  }
  const accepted = [...newest.values()]
  table.setRecords(accepted, at)
  return accepted
}
