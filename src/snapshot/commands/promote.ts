/**
 * Puts the largest closed set of versions and the present targets in force, in one assignment.
 */
import type { Target } from '../../membership/index.js'
import { selectConsistent } from '../queries/consistent.js'
import type { Entry } from '../schema.js'
import type { SnapshotTable } from '../table.js'

export interface Promotion { applied: Entry[], pending: Entry[] }

export function promoteConsistent (table: SnapshotTable, targets: ReadonlyMap<string, readonly Target[]>): Promotion {
  const before = table.current.entries
  const entries = selectConsistent(table.staged, before)
  const applied = [...entries.values()].filter(entry => entry !== before.get(entry.service))
  const held = [...table.staged.values()].filter(entry => entry !== entries.get(entry.service))
  table.replace({ entries, targets })
  return { applied, pending: held }
}

/** Puts changed targets in force with the versions as they are. */
export function replaceTargets (table: SnapshotTable, targets: ReadonlyMap<string, readonly Target[]>): void {
  table.replace({ entries: table.current.entries, targets })
}
