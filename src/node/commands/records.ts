/**
 * Stores host records, and puts their targets and crash marks in force.
 */
import type { Clock } from '../../core/index.js'
import { mergeRecords } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import { replaceTargets } from '../../snapshot/index.js'
import { replaceCrashMarks } from '../../suspect/index.js'
import type { CrashMarkId } from '../../suspect/index.js'
import type { NodeState, RecordUpdate } from '../state.js'

/** Stores no record of the local host, but emits it to `ownRecords`. */
export function storeRecords (state: NodeState, { records, from }: RecordUpdate, clock: Clock): void {
  const { host: localHost } = state.identity
  for (const record of records) if (record.host === localHost) state.ownRecords.emit(record)
  const others = records.filter(({ host }) => host !== localHost)
  const previous = new Map(others.map(({ host }) => [host, state.members.findNewest(host)]))
  for (const record of mergeAndEmit(state, others, clock, from)) {
    replaceCrashMarks(state.suspects, listCrashMarks(previous.get(record.host)), listCrashMarks(record), record.host)
  }
}

/** Stores a record that this node made. */
export function storeLocalRecord (state: NodeState, record: HostRecord, clock: Clock): void {
  mergeAndEmit(state, [record], clock, undefined)
}

/** Returns the marks of a record, each with the id of its target. */
export function listCrashMarks (record: HostRecord | undefined): CrashMarkId[] {
  return record?.marks.map(({ fingerprint, target }) => ({ fingerprint, target: `${record.host}/${target}` })) ?? []
}

/** Returns the records that were stored. */
function mergeAndEmit (state: NodeState, records: readonly HostRecord[], clock: Clock, from: string | undefined): HostRecord[] {
  const stored = mergeRecords(state.members, records, clock.monotonic())
  if (stored.length === 0) return []
  replaceTargets(state.snapshotTable, state.members.targets)
  state.recordUpdates.emit(from === undefined ? { records: stored } : { records: stored, from })
  return stored
}
