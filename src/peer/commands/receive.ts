/**
 * Takes versions and records into the replica and puts the result in force.
 */
import type { Clock } from '../../core/index.js'
import { mergeRecords } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import { promoteClosed, replaceTargets, stageEntry } from '../../snapshot/index.js'
import type { Entry } from '../../snapshot/index.js'
import type { Counts } from '../acks.js'
import type { Replica } from '../replica.js'

/** Told of each version as it comes into force on this node. */
export type OnApplied = (entry: Entry) => void

export interface Receiver { replica: Replica, clock: Clock, onApplied: OnApplied }

/** Gives the entries that were new. */
export function receiveEntries (receiver: Receiver, entries: readonly Entry[], source?: string): Entry[] {
  const { replica } = receiver
  const taken = entries.filter(entry => stageEntry(replica.table, entry))
  if (taken.length === 0) return taken
  taken.forEach(entry => { replica.keepVersion(entry) })
  promoteStaged(receiver)
  replica.changes.emit({ services: taken.map(entry => entry.service), hosts: [], ...(source === undefined ? {} : { source }) })
  return taken
}

function promoteStaged ({ replica, onApplied }: Receiver): void {
  const { applied, held } = promoteClosed(replica.table, replica.members.targets)
  const counts: Counts = Object.fromEntries(applied.map(entry => [entry.service, { [String(entry.version)]: 1 }]))
  replica.held = held.map(entry => ({
    node: replica.identity.host, service: entry.service, version: entry.version, reason: 'a service it refers to is not here yet'
  }))
  replica.acks.record(replica.identity.host, { counts, lagging: replica.held })
  applied.forEach(onApplied)
}

export function receiveRecords (receiver: Receiver, records: readonly HostRecord[], source?: string): HostRecord[] {
  const { replica } = receiver
  const taken = mergeRecords(replica.members, records)
  if (taken.length === 0) return taken
  replaceTargets(replica.table, replica.members.targets)
  replica.changes.emit({ services: [], hosts: taken.map(record => record.host), ...(source === undefined ? {} : { source }) })
  return taken
}
