/**
 * Marks on requests that were in flight on a target when it crashed. Ages are in milliseconds, since
 * clocks of different hosts are never compared.
 */
import { z } from 'zod'

export const CRASH_MARK_RETENTION_MS = 600_000
/** Marks on so many different targets block a request. */
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
