/**
 * Checks whether a request is suspect, or is blocked because of its crash marks.
 */
import { BLOCKING_CRASH_MARKS } from '../schema.js'
import type { SuspectTable } from '../table.js'

export function isBlocked (table: SuspectTable, fingerprint: string): boolean {
  return table.listTargets(fingerprint).length >= BLOCKING_CRASH_MARKS
}

export function isSuspect (table: SuspectTable, fingerprint: string): boolean {
  return table.listTargets(fingerprint).length > 0
}
