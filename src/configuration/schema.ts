/**
 * One version of the whole configuration: the documents of all services and the limits that hold for
 * callers. It is applied as one; versions rise, in steps of any size.
 */
import { z } from 'zod'
import { documentSchema } from '../document/index.js'

/** Bounds of what a caller may send. Times are in milliseconds, sizes in bytes. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  /** A caller's connection without a request is closed after this time. */
  idleTimeoutMs: z.number().positive()
})
export type CallerLimits = z.infer<typeof callerLimitsSchema>

export const configurationSchema = z.object({
  version: z.number().int().positive(),
  documents: z.array(documentSchema),
  callerLimits: callerLimitsSchema
})
export type Configuration = z.infer<typeof configurationSchema>
