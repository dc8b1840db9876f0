/**
 * Which requests are refused because of their marks.
 */
import { BLOCKING_CRASH_MARKS } from '../schema.js'
import type { SuspectTable } from '../table.js'

export function isBlocked (table: SuspectTable, fingerprint: string): boolean {
  return table.listTargets(fingerprint).length >= BLOCKING_CRASH_MARKS
}

export function isSuspect (table: SuspectTable, fingerprint: string): boolean {
  return table.listTargets(fingerprint).length > 0
}
