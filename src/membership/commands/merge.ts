/**
 * Takes records from peers. A record that does not outrank the one held changes nothing,
 * so records may arrive twice, late or in any order.
 */
import { compareRecords } from '../queries/order.js'
import type { HostRecord } from '../schema.js'
import type { MemberTable } from '../table.js'

/** Gives the records that were taken. `at` is local monotonic time. */
export function mergeRecords (table: MemberTable, records: readonly HostRecord[], at: number): HostRecord[] {
  const newest = new Map<string, HostRecord>()
  for (const record of records) {
    const held = newest.get(record.host) ?? table.findNewest(record.host)
    if (held === undefined || compareRecords(record, held) > 0) newest.set(record.host, record)
  }
  const taken = [...newest.values()]
  table.setRecords(taken, at)
  return taken
}
