/**
 * Sets and clears marks, and tells whoever follows the table of what is new.
 */
import type { CrashMark } from '../schema.js'
import type { SuspectChange, SuspectTable } from '../table.js'

export function addCrashMarks (table: SuspectTable, marks: readonly CrashMark[], source?: string): CrashMark[] {
  const taken = marks.filter(mark => table.addMark(mark))
  if (taken.length > 0) table.changes.emit(makeChange(taken, [], source))
  return taken
}

/** A request that completed did not crash the target that ran it. */
export function clearCrashMarks (table: SuspectTable, fingerprints: readonly string[], source?: string): void {
  const cleared = fingerprints.filter(fingerprint => table.removeMarks(fingerprint))
  if (cleared.length > 0) table.changes.emit(makeChange([], cleared, source))
}

function makeChange (marks: readonly CrashMark[], cleared: readonly string[], source: string | undefined): SuspectChange {
  return source === undefined ? { marks, cleared } : { marks, cleared, source }
}
