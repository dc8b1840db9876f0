/**
 * Requests that may crash the targets that run them.
 */
export { clearSuspects, markSuspects } from './commands/mark.js'
export { isBlocked, isMarked } from './queries/blocked.js'
export { computeFingerprint } from './queries/fingerprint.js'
export { MARK_KEPT_MS, markSchema, MAX_SUSPECTS } from './schema.js'
export type { Mark } from './schema.js'
export { SuspectTable } from './table.js'
export type { SuspectChange } from './table.js'
