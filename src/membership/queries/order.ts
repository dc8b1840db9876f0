/**
 * Order of two records of one host. `lost` is an overlay: it outranks the record it was put on,
 * and any later record of the owner outranks it.
 */
import type { HostRecord } from '../schema.js'

type Stamp = Pick<HostRecord, 'incarnation' | 'sequence' | 'lost'>

export function compareRecords (left: Stamp, right: Stamp): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  if (left.sequence !== right.sequence) return left.sequence - right.sequence
  return Number(left.lost) - Number(right.lost)
}
