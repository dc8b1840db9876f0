/**
 * Suspect requests, which may crash the targets that run them.
 */
export { CrashMarkAnnouncer } from './announcer.js'
export type { SuspectMessages } from './announcer.js'
export { addCrashMarks, clearCompleted, clearCrashMarks } from './commands/mark.js'
export { findHost } from './queries/host.js'
export { isBlocked, isSuspect } from './queries/blocked.js'
export { computeFingerprint } from './queries/fingerprint.js'
export { CRASH_MARK_RETENTION_MS, crashMarkSchema, MAX_SUSPECT_REQUESTS } from './schema.js'
export type { CrashMark } from './schema.js'
export { SuspectTable } from './table.js'
export type { SuspectChange } from './table.js'
