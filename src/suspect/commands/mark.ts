/**
 * Adds and clears crash marks, and notifies the subscribers of the table of each change.
 */
import type { CrashMark } from '../schema.js'
import type { SuspectChange, SuspectTable } from '../table.js'

export function addCrashMarks (table: SuspectTable, marks: readonly CrashMark[], source?: string): CrashMark[] {
  const added = marks.filter(mark => table.addMark(mark))
  if (added.length > 0) table.changes.emit(makeChange(added, [], source))
  return added
}

/** Clears the crash marks of requests that completed, since a completed request did not crash its target. */
export function clearCrashMarks (table: SuspectTable, fingerprints: readonly string[], source?: string): void {
  const cleared = fingerprints.filter(fingerprint => table.removeMarks(fingerprint))
  if (cleared.length > 0) table.changes.emit(makeChange([], cleared, source))
}

function makeChange (marks: readonly CrashMark[], cleared: readonly string[], source: string | undefined): SuspectChange {
  return source === undefined ? { marks, cleared } : { marks, cleared, source }
}
