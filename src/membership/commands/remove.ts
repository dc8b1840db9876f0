/**
 * Removes hosts that are permanently gone. A tombstone is the last record of a host, marked as gone. The
 * owner's next record supersedes it.
 */
import type { HostRecord } from '../schema.js'
import type { MemberTable } from '../table.js'

/** The record of a host is removed after this time without a response from the host. */
export const REMOVE_UNREACHABLE_AFTER_MS = 600_000
/** Longer than the partitions between regions, which occasionally last an hour. */
export const TOMBSTONE_RETENTION_MS = 7_200_000

export function makeTombstone (record: HostRecord): HostRecord {
  return { ...record, targets: [], gone: true }
}

/** Evicts the tombstones of hosts that were removed TOMBSTONE_RETENTION_MS ago. */
export function evictTombstones (table: MemberTable, at: number): void {
  for (const tombstone of table.listTombstones()) if (at - tombstone.at >= TOMBSTONE_RETENTION_MS) table.removeTombstone(tombstone.record.host)
}
