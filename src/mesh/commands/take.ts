/**
 * Takes host records that other nodes made, and puts their targets in force.
 */
import type { Clock } from '../../core/index.js'
import { compareRecords, mergeRecords } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import { replaceTargets } from '../../snapshot/index.js'
import type { MeshState } from '../state.js'

/** Gives the records that were new. Of its own host a node takes no other record, and answers one that outranks its own. */
export function takeRecords (state: MeshState, records: readonly HostRecord[], clock: Clock): HostRecord[] {
  const { own, identity } = state
  const others = records.filter(({ host }) => host !== identity.host)
  for (const record of records) {
    if (record.host === identity.host && (own.newest === undefined || compareRecords(record, own.newest) > 0)) state.challenges.emit(record)
  }
  return mergeTaken(state, others, clock)
}

/** Spreads a record that this node made. */
export function announceRecord (state: MeshState, record: HostRecord, clock: Clock): void {
  mergeTaken(state, [record], clock)
}

function mergeTaken (state: MeshState, records: readonly HostRecord[], clock: Clock): HostRecord[] {
  const taken = mergeRecords(state.members, records, clock.monotonic())
  if (taken.length === 0) return taken
  replaceTargets(state.table, state.members.targets)
  state.records.emit(taken)
  return taken
}
