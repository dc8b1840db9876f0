/**
 * What one peer has not been sent yet.
 */
import type { Entry } from '../../snapshot/index.js'
import type { Vector } from '../../snapshot/index.js'
import type { Update } from '../messages.js'
import type { Replica } from '../replica.js'
import { makeUpdate } from './difference.js'

/** Updates for services whose newest version is above the one the subscriber holds. */
export function listUpdates (replica: Replica, services: Iterable<string>, held: Vector): Update[] {
  const updates: Update[] = []
  for (const service of services) {
    const entry = replica.table.staged.get(service)
    if (entry === undefined || entry.version <= (held[service] ?? 0)) continue
    updates.push(makeUpdate(entry, findBase(replica, entry, held)))
  }
  return updates
}

function findBase (replica: Replica, entry: Entry, held: Vector): Entry | undefined {
  const version = held[entry.service]
  return version === undefined ? undefined : replica.findVersion(entry.service, version)
}
