/**
 * Takes host records, and puts their targets in force.
 */
import type { Clock } from '../../core/index.js'
import { compareRecords, mergeRecords } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import { replaceTargets } from '../../snapshot/index.js'
import type { NodeState, RecordUpdate } from '../state.js'

/** Of its own host a node takes no record that another made; one that outranks its own is a challenge. */
export function storeRecords (state: NodeState, { records, from }: RecordUpdate, clock: Clock): void {
  const { localHost: own, identity } = state
  const others = records.filter(({ host }) => host !== identity.host)
  for (const record of records) {
    if (record.host === identity.host &&
      (own.newestRecord === undefined || compareRecords(record, own.newestRecord) > 0)) state.supersedingRecords.emit(record)
  }
  mergeAndEmit(state, others, clock, from)
}

/** Spreads a record that this node made. */
export function storeLocalRecord (state: NodeState, record: HostRecord, clock: Clock): void {
  mergeAndEmit(state, [record], clock, undefined)
}

function mergeAndEmit (state: NodeState, records: readonly HostRecord[], clock: Clock, from: string | undefined): void {
  const taken = mergeRecords(state.members, records, clock.monotonic())
  if (taken.length === 0) return
  replaceTargets(state.snapshotTable, state.members.targets)
  state.recordUpdates.emit(from === undefined ? { records: taken } : { records: taken, from })
}
