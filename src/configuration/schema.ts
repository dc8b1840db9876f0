/**
 * One version of the whole configuration: the documents of all services and the limits that hold for
 * callers. It is applied as one; versions rise, in steps of any size.
 */
import { z } from 'zod'
import { entrySchema } from '../snapshot/index.js'

/** Bounds of what a caller may send. Times are in milliseconds, sizes in bytes. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  /** A caller's connection without a request is closed after this time. */
  idleTimeoutMs: z.number().positive()
})
export type CallerLimits = z.infer<typeof callerLimitsSchema>

/** A version of a service that is not applied; the one before it stays. */
export const refusedVersionSchema = z.object({ service: z.string(), version: z.number().int(), reason: z.string() })
export type RefusedVersion = z.infer<typeof refusedVersionSchema>

export const configurationSchema = z.object({
  version: z.number().int().positive(),
  entries: z.array(entrySchema),
  /** A service without an entry is deleted. Else what is held of it stays, and deletions are entries. */
  replacesAll: z.boolean(),
  callerLimits: callerLimitsSchema.optional(),
  refused: z.array(refusedVersionSchema).optional()
})
export type Configuration = z.infer<typeof configurationSchema>
