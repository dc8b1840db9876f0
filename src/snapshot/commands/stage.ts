/**
 * Takes a version of a service if it is higher than the one held; anything else changes nothing.
 */
import type { Entry } from '../schema.js'
import type { SnapshotTable } from '../table.js'

export function stageEntry (table: SnapshotTable, entry: Entry): boolean {
  const held = table.staged.get(entry.service)
  if (held !== undefined && held.version >= entry.version) return false
  table.staged.set(entry.service, entry)
  return true
}
