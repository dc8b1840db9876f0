/**
 * Stages a version of a service if it is higher than the staged one. Any other version changes nothing.
 */
import type { Entry } from '../schema.js'
import type { SnapshotTable } from '../table.js'

export function stageEntry (table: SnapshotTable, entry: Entry): boolean {
  const staged = table.staged.get(entry.service)
  if (staged !== undefined && staged.version >= entry.version) return false
  table.staged.set(entry.service, entry)
  return true
}
