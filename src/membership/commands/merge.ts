/**
 * Takes records from peers. A record that does not outrank the one held changes nothing,
 * so records may arrive twice, late or in any order.
 */
import { compareRecords } from '../queries/order.js'
import type { HostRecord } from '../schema.js'
import type { MemberTable } from '../table.js'

/** Gives the records that were taken. */
export function mergeRecords (table: MemberTable, records: readonly HostRecord[]): HostRecord[] {
  const taken: HostRecord[] = []
  for (const record of records) {
    const held = table.get(record.host)
    if (held !== undefined && compareRecords(record, held) <= 0) continue
    table.set(record)
    taken.push(record)
  }
  return taken
}
