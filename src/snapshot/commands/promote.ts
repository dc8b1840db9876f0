/**
 * Puts the largest consistent set of versions and the current targets in force, in one assignment.
 */
import type { Target } from '../../membership/index.js'
import { selectConsistent } from '../queries/consistent.js'
import type { Entry } from '../schema.js'
import type { SnapshotTable } from '../table.js'

export interface Promotion { applied: Entry[], pending: Entry[] }

export function promoteConsistent (table: SnapshotTable, targets: ReadonlyMap<string, readonly Target[]>): Promotion {
  const inForce = table.current.entries
  const entries = selectConsistent(table.staged, inForce)
  const applied = [...entries.values()].filter(entry => entry !== inForce.get(entry.service))
  const pending = [...table.staged.values()].filter(entry => entry !== entries.get(entry.service))
  table.replace({ entries, targets })
  return { applied, pending }
}

/** Puts changed targets in force and keeps the versions. */
export function replaceTargets (table: SnapshotTable, targets: ReadonlyMap<string, readonly Target[]>): void {
  table.replace({ entries: table.current.entries, targets })
}
