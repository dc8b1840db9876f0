/**
 * Crash marks of requests that were in flight on a target when it crashed. A mark has an age in
 * milliseconds, not a time, since the clocks of different hosts are never compared.
 */
import * as z from 'zod'

export const CRASH_MARK_RETENTION_MS = 600_000
/** A request with crash marks on this many different targets is blocked. */
export const BLOCKING_CRASH_MARKS = 2
export const MAX_SUSPECT_REQUESTS = 4_096

const MAX_ID_CHARACTERS = 256

export const crashMarkSchema = z.object({
  fingerprint: z.string().max(MAX_ID_CHARACTERS),
  /** Id of the target that crashed. */
  target: z.string().max(MAX_ID_CHARACTERS),
  ageMs: z.number().nonnegative()
})
export type CrashMark = z.infer<typeof crashMarkSchema>
