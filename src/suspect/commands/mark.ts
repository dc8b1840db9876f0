/**
 * Adds and clears crash marks, and notifies the subscribers of the table of each change.
 */
import { findHost } from '../queries/host.js'
import type { CrashMark } from '../schema.js'
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

function removeMarks (table: SuspectTable, fingerprint: string, informedHosts: Iterable<string>): ClearedRequest[] {
  const hosts = new Set([...table.removeMarks(fingerprint).map(findHost), ...informedHosts])
  return hosts.size === 0 ? [] : [{ fingerprint, hosts: [...hosts] }]
}

function makeChange (marks: readonly CrashMark[], cleared: readonly ClearedRequest[], source: string | undefined): SuspectChange {
  return source === undefined ? { marks, cleared } : { marks, cleared, source }
}
