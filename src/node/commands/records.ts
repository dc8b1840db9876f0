/**
 * Stores host records and puts their targets in force.
 */
import type { Clock } from '../../core/index.js'
import { compareRecords, mergeRecords } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import { replaceTargets } from '../../snapshot/index.js'
import type { NodeState, RecordUpdate } from '../state.js'

/** Stores no record of the local host. A record that supersedes the newest local one is emitted to `supersedingRecords` instead. */
export function storeRecords (state: NodeState, { records, from }: RecordUpdate, clock: Clock): void {
  const { localHost, identity } = state
  const others = records.filter(({ host }) => host !== identity.host)
  for (const record of records) {
    if (record.host === identity.host &&
      (localHost.newestRecord === undefined || compareRecords(record, localHost.newestRecord) > 0)) state.supersedingRecords.emit(record)
  }
  mergeAndEmit(state, others, clock, from)
}

/** Stores a record that this node made. */
export function storeLocalRecord (state: NodeState, record: HostRecord, clock: Clock): void {
  mergeAndEmit(state, [record], clock, undefined)
}

function mergeAndEmit (state: NodeState, records: readonly HostRecord[], clock: Clock, from: string | undefined): void {
  const stored = mergeRecords(state.members, records, clock.monotonic())
  if (stored.length === 0) return
  replaceTargets(state.snapshotTable, state.members.targets)
  state.recordUpdates.emit(from === undefined ? { records: stored } : { records: stored, from })
}
