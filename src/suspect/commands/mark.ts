/**
 * Sets and clears marks, and tells whoever follows the table of what is new.
 */
import type { Mark } from '../schema.js'
import type { SuspectChange, SuspectTable } from '../table.js'

export function addCrashMarks (table: SuspectTable, marks: readonly Mark[], source?: string): Mark[] {
  const taken = marks.filter(mark => table.keepMark(mark))
  if (taken.length > 0) table.changes.emit(makeChange(taken, [], source))
  return taken
}

/** A request that completed did not crash the target that ran it. */
export function clearCrashMarks (table: SuspectTable, fingerprints: readonly string[], source?: string): void {
  const cleared = fingerprints.filter(fingerprint => table.dropMarks(fingerprint))
  if (cleared.length > 0) table.changes.emit(makeChange([], cleared, source))
}

function makeChange (marks: readonly Mark[], cleared: readonly string[], source: string | undefined): SuspectChange {
  return source === undefined ? { marks, cleared } : { marks, cleared, source }
}
