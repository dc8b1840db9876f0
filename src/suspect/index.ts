/**
 * Suspect requests, which may crash the targets that run them.
 */
export { ClearedMarkCollector } from './collector.js'
export { addCrashMarks, clearCompleted, clearCrashMarks, replaceCrashMarks } from './commands/mark.js'
export { findHost } from './queries/host.js'
export { isBlocked, isSuspect } from './queries/blocked.js'
export { computeFingerprint, MAX_HASHED_BYTES } from './queries/fingerprint.js'
export { CRASH_MARK_RETENTION_MS, MAX_SUSPECT_REQUESTS } from './schema.js'
export type { CrashMark, CrashMarkId } from './schema.js'
export { SuspectTable } from './table.js'
export type { SuspectChange } from './table.js'
