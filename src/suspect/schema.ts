/**
 * Marks on requests that were in flight on a target when it crashed. Ages are in milliseconds, since
 * clocks of different hosts are never compared.
 */
import { z } from 'zod'

export const MARK_KEPT_MS = 600_000
/** Marks on so many different targets block a request. */
export const BLOCKING_MARKS = 2
export const MAX_SUSPECTS = 4_096

const MAX_TEXT = 256

export const markSchema = z.object({
  fingerprint: z.string().max(MAX_TEXT),
  /** Id of the target that crashed. */
  target: z.string().max(MAX_TEXT),
  ageMs: z.number().nonnegative()
})
export type Mark = z.infer<typeof markSchema>

/** Between nodes of one zone, in both directions. `cleared` are fingerprints of requests that completed. */
export const suspectsSchema = z.object({
  type: z.literal('suspects'),
  marks: z.array(markSchema).max(MAX_SUSPECTS * BLOCKING_MARKS),
  cleared: z.array(z.string().max(MAX_TEXT)).max(MAX_SUSPECTS)
})
export type Suspects = z.infer<typeof suspectsSchema>
