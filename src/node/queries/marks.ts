/**
 * Lists the crash marks that the record of the local host is to have: those of its own targets.
 */
import { recordMarkSchema } from '../../membership/index.js'
import type { RecordMark } from '../../membership/index.js'
import { findHost } from '../../suspect/index.js'
import type { NodeState } from '../state.js'

/** Leaves out a mark that no record can have, since a fingerprint comes from another node. Other nodes would not take the record. */
export function listOwnMarks ({ suspects, identity: { host } }: NodeState): RecordMark[] {
  const own = suspects.listMarks().filter(({ target }) => findHost(target) === host)
  return own.flatMap(({ fingerprint, target }) => recordMarkSchema.safeParse({ fingerprint, target: target.slice(host.length + 1) }).data ?? [])
}
