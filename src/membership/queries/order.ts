/**
 * Order of two records of one host. `gone` is an overlay: it outranks the record it was put on, and
 * any later record of the owner outranks it.
 */
import { formatCanonicalJson } from '../../core/index.js'
import type { HostRecord, RecordStamp } from '../schema.js'

/**
 * Zero only for records with the same content. Two processes of one host may have made different
 * records with one stamp, after a restart with the clock set back; the content then decides, so
 * that all nodes keep the same one and the owner meets the other.
 */
export function compareRecords (left: HostRecord, right: HostRecord): number {
  const order = compareRecordStamps(left, right)
  if (order !== 0 || left === right) return order
  const [leftText, rightText] = [formatCanonicalJson(left), formatCanonicalJson(right)]
  if (leftText === rightText) return 0
  return leftText < rightText ? -1 : 1
}

export function compareRecordStamps (left: RecordStamp, right: RecordStamp): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  if (left.sequence !== right.sequence) return left.sequence - right.sequence
  return getTombstoneRank(left) - getTombstoneRank(right)
}

function getTombstoneRank ({ gone }: RecordStamp): number {
  return gone === true ? 1 : 0
}

/** The stamp as text, equal exactly for records that rank the same. */
export function formatRecordStamp (stamp: RecordStamp): string {
  return `${stamp.incarnation}.${stamp.sequence}.${getTombstoneRank(stamp)}`
}
