/**
 * Removal of hosts that are gone for good. The mark is an overlay on the last record of a host; the
 * owner's next record outranks it.
 */
import type { HostRecord } from '../schema.js'
import type { MemberTable } from '../table.js'

/** Time without an answer from a host after which its record is removed. */
export const REMOVE_UNREACHABLE_AFTER_MS = 600_000
/** Longer than the hour for which regions lose each other now and then. */
export const TOMBSTONE_RETENTION_MS = 7_200_000

export function makeTombstone (record: HostRecord): HostRecord {
  return { ...record, targets: [], gone: true }
}

/** Drops what is kept of hosts removed FORGET_AFTER_MS ago. */
export function evictTombstones (table: MemberTable, at: number): void {
  for (const one of table.listTombstones()) if (at - one.at >= TOMBSTONE_RETENTION_MS) table.removeTombstone(one.record.host)
}
