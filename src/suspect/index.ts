/**
 * Suspect requests, which may crash the targets that run them.
 */
export { addCrashMarks, clearCrashMarks } from './commands/mark.js'
export { isBlocked, isSuspect } from './queries/blocked.js'
export { computeFingerprint } from './queries/fingerprint.js'
export { CRASH_MARK_RETENTION_MS, crashMarkSchema, MAX_SUSPECT_REQUESTS } from './schema.js'
export type { CrashMark } from './schema.js'
export { SuspectTable } from './table.js'
export type { SuspectChange } from './table.js'
