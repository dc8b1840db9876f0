/**
 * Adds and clears crash marks, and notifies the subscribers of the table of each change.
 */
import { findHost } from '../queries/host.js'
import type { CrashMark, CrashMarkId } from '../schema.js'
import type { ClearedRequest, SuspectChange, SuspectTable } from '../table.js'

export function addCrashMarks (table: SuspectTable, marks: readonly CrashMark[], source?: string): CrashMark[] {
  const added = marks.filter(mark => table.addMark(mark))
  if (added.length > 0) table.changes.emit(makeChange(added, [], source))
  return added
}

/** Clears the crash marks that a peer reported as cleared. */
export function clearCrashMarks (table: SuspectTable, fingerprints: readonly string[], source: string): void {
  const cleared = fingerprints.flatMap(fingerprint => removeMarks(table, fingerprint, []))
  if (cleared.length > 0) table.changes.emit(makeChange([], cleared, source))
}

/**
 * Clears the crash marks of a request that completed on this node, since a completed request did not crash its target. `informedHosts`
 * are the hosts to which this node sent the request with its marks.
 */
export function clearCompleted (table: SuspectTable, fingerprint: string, informedHosts: Iterable<string> = []): void {
  const cleared = removeMarks(table, fingerprint, informedHosts)
  if (cleared.length > 0) table.changes.emit(makeChange([], cleared, undefined))
}

/** Applies the difference between two lists of marks that the owner of their targets has sent. */
export function replaceCrashMarks (table: SuspectTable, previous: readonly CrashMarkId[], next: readonly CrashMarkId[], source: string): void {
  for (const mark of listMissing(previous, next)) table.removeMark(mark.fingerprint, mark.target)
  addCrashMarks(table, listMissing(next, previous).map(mark => ({ ...mark, ageMs: 0 })), source)
}

/** Returns the marks of the first list that the second one does not have. */
function listMissing (marks: readonly CrashMarkId[], others: readonly CrashMarkId[]): CrashMarkId[] {
  if (marks.length === 0) return []
  const known = new Set(others.map(formatCrashMarkId))
  return marks.filter(mark => !known.has(formatCrashMarkId(mark)))
}

function formatCrashMarkId ({ fingerprint, target }: CrashMarkId): string {
  return `${fingerprint} ${target}`
}

function removeMarks (table: SuspectTable, fingerprint: string, informedHosts: Iterable<string>): ClearedRequest[] {
  const hosts = new Set([...table.removeMarks(fingerprint).map(findHost), ...informedHosts])
  return hosts.size === 0 ? [] : [{ fingerprint, hosts: [...hosts] }]
}

function makeChange (marks: readonly CrashMark[], cleared: readonly ClearedRequest[], source: string | undefined): SuspectChange {
  return source === undefined ? { marks, cleared } : { marks, cleared, source }
}
