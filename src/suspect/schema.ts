/**
 * Crash marks of requests that were in flight on a target when it crashed. The host record of the target names them, so they reach the
 * other nodes, and the next process of the host, as the rest of the record does.
 */

export const CRASH_MARK_RETENTION_MS = 600_000
/** A request with crash marks on this many different targets is blocked. */
export const BLOCKING_CRASH_MARKS = 2
export const MAX_SUSPECT_REQUESTS = 4_096

/** `target` is `HOST/PROCESS`, with the name of the target's process that crashed. */
export interface CrashMarkId { fingerprint: string, target: string }

export interface CrashMark extends CrashMarkId { ageMs: number }
