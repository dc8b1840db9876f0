/**
 * Orders the records of a host. A tombstone supersedes the record from which it was made, and any later
 * record of the owner supersedes the tombstone.
 */
import { formatCanonicalJson } from '../../core/index.js'
import type { HostRecord, RecordStamp } from '../schema.js'

/**
 * Returns zero only for records with the same content. Two processes of a host may have made different
 * records with the same stamp, after a restart with the clock set back. The content then decides, so that
 * all nodes keep the same record and the owner receives the other one.
 */
export function compareRecords (left: HostRecord, right: HostRecord): number {
  const order = compareRecordStamps(left, right)
  // Records that were decoded from the same bytes have the same key order, and plain JSON is far cheaper than canonical JSON.
  if (order !== 0 || left === right || JSON.stringify(left) === JSON.stringify(right)) return order
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

/** Returns the stamp as text. Two texts are equal exactly if their stamps compare as equal. */
export function formatRecordStamp (stamp: RecordStamp): string {
  return `${stamp.incarnation}.${stamp.sequence}.${getTombstoneRank(stamp)}`
}
