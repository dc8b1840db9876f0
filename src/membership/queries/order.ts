/**
 * Order of two records of one host. `lost` and `gone` are overlays: each outranks the record it
 * was put on, and any later record of the owner outranks both.
 */
import type { Stamp } from '../schema.js'

export function compareRecords (left: Stamp, right: Stamp): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  if (left.sequence !== right.sequence) return left.sequence - right.sequence
  return getOverlayRank(left) - getOverlayRank(right)
}

function getOverlayRank ({ lost, gone }: Stamp): number {
  if (gone === true) return 2
  return lost ? 1 : 0
}

/** The stamp as text, equal exactly for records that rank the same. */
export function formatStamp (stamp: Stamp): string {
  return `${stamp.incarnation}.${stamp.sequence}.${getOverlayRank(stamp)}`
}
