/**
 * Takes versions and records into the replica and puts the result in force.
 */
import type { Clock } from '../../core/index.js'
import { compareRecords, mergeRecords } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import { promoteClosed, replaceTargets, stageEntry } from '../../snapshot/index.js'
import type { Entry } from '../../snapshot/index.js'
import type { Counts } from '../acks.js'
import type { Replica } from '../replica.js'

/** Told of each version as it comes into force on this node. */
export type OnApplied = (entry: Entry) => void

/** Told of each version that waits for another service. */
export type OnHeld = (entry: Entry, reason: string) => void

export interface Receiver { replica: Replica, clock: Clock, onApplied: OnApplied, onHeld?: OnHeld }

/** Gives the entries that were new. */
export function receiveEntries (receiver: Receiver, entries: readonly Entry[], source?: string): Entry[] {
  const { replica } = receiver
  const taken = entries.filter(entry => stageEntry(replica.table, entry))
  if (taken.length === 0) return taken
  taken.forEach(entry => { replica.keepVersion(entry) })
  replica.changes.emit({ services: taken.map(entry => entry.service), hosts: [], ...(source === undefined ? {} : { source }) })
  promoteStaged(receiver)
  return taken
}

const HELD_REASON = 'a service it refers to is not here yet'

function promoteStaged ({ replica, onApplied, onHeld }: Receiver): void {
  const { applied, held } = promoteClosed(replica.table, replica.members.targets)
  const counts: Counts = Object.fromEntries(applied.map(entry => [entry.service, { [String(entry.version)]: 1 }]))
  const heldBefore = new Set(replica.held.map(({ service, version }) => `${service} ${version}`))
  replica.held = held.map(entry => ({
    node: replica.identity.host, service: entry.service, version: entry.version, reason: HELD_REASON
  }))
  replica.acks.record(replica.identity.host, { counts, lagging: replica.held })
  applied.forEach(onApplied)
  held.filter(({ service, version }) => !heldBefore.has(`${service} ${version}`)).forEach(entry => onHeld?.(entry, HELD_REASON))
}

/** Without a source the records were made by this node. Of its own host a node takes no other record. */
export function receiveRecords (receiver: Receiver, records: readonly HostRecord[], source?: string): HostRecord[] {
  const { replica, clock } = receiver
  const accepted = source === undefined ? records : refuseOwn(replica, records)
  const taken = mergeRecords(replica.members, accepted, clock.monotonic())
  if (taken.length === 0) return taken
  replaceTargets(replica.table, replica.members.targets)
  replica.changes.emit({ services: [], hosts: taken.map(record => record.host), ...(source === undefined ? {} : { source }) })
  return taken
}

function refuseOwn ({ own, challenges }: Replica, records: readonly HostRecord[]): HostRecord[] {
  const { newest } = own
  for (const record of records) if (record.host === own.host && newest !== undefined && compareRecords(record, newest) > 0) challenges.emit(record)
  return records.filter(record => record.host !== own.host)
}
