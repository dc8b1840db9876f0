/**
 * Overlays on records of other hosts: lost, and after a long time gone. The owner's next record
 * outranks both.
 */
import { formatStamp } from '../queries/order.js'
import type { HostRecord, Stamp } from '../schema.js'
import type { MemberTable } from '../table.js'

/** How long a parent waits for a subscriber to come back before it marks the host lost. */
export const LOST_AFTER_MS = 3_000
export const REMOVE_AFTER_MS = 600_000
/** Longer than the hour for which regions lose each other now and then. */
export const FORGET_AFTER_MS = 7_200_000

/** Gives the overlay for a host of the given zone whose record is still the one seen at its last sign of life. */
export function makeLost (table: MemberTable, zone: string, host: string, seen: Stamp | undefined): HostRecord | undefined {
  const held = table.get(host)
  if (held === undefined || held.zone !== zone || held.lost || seen === undefined) return undefined
  return formatStamp(held) === formatStamp(seen) ? { ...held, lost: true } : undefined
}

/** Gives the overlays that remove the hosts of the zone that have been lost for REMOVE_AFTER_MS. */
export function makeGone (table: MemberTable, zone: string, at: number): HostRecord[] {
  const due = table.listLost().filter(one => at - one.at >= REMOVE_AFTER_MS).flatMap(one => table.get(one.host) ?? [])
  return due.filter(record => record.zone === zone).map(record => ({ ...record, targets: [], gone: true }))
}

/** Drops what is kept of hosts removed FORGET_AFTER_MS ago. */
export function forgetRemoved (table: MemberTable, at: number): void {
  for (const one of table.listRemoved()) if (at - one.at >= FORGET_AFTER_MS) table.forget(one.record.host)
}
