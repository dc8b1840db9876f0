/**
 * One version of the configuration: the documents of all services and the limits for callers. A
 * version is applied atomically. Versions increase in steps of any size.
 */
import * as z from 'zod'
import { accountSchema } from '../account/index.js'
import { entrySchema } from '../snapshot/index.js'
import { storePositionSchema } from '../store/index.js'

/** Limits for the requests and connections of callers. Times are in milliseconds, sizes in bytes. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  /** An idle connection of a caller is closed after this time. */
  idleTimeoutMs: z.number().positive()
})
export type CallerLimits = z.infer<typeof callerLimitsSchema>

/** A version of a service that is not applied. The previous version stays in force. */
export const refusedVersionSchema = z.object({ service: z.string(), version: z.number().int(), reason: z.string() })
export type RefusedVersion = z.infer<typeof refusedVersionSchema>

/** `name` is empty if it could not be read either. */
export const unreadablePartSchema = z.object({ kind: z.enum(['route', 'service', 'account']), name: z.string(), reason: z.string() })
export type UnreadablePart = z.infer<typeof unreadablePartSchema>

export const configurationSchema = z.object({
  version: z.number().int().positive(),
  entries: z.array(entrySchema),
  /** If true, a service without an entry is deleted. If false, its current version stays, and a deletion is an entry without a document. */
  replacesAll: z.boolean(),
  /** A watch of the store from this position returns all later versions. */
  position: storePositionSchema.optional(),
  callerLimits: callerLimitsSchema.optional(),
  /** Absent if callers need no keys. */
  accounts: z.array(accountSchema).optional(),
  /** Parts of the version that could not be read. */
  unreadable: z.array(unreadablePartSchema).optional(),
  refused: z.array(refusedVersionSchema).optional()
})
export type Configuration = z.infer<typeof configurationSchema>

/** What differs between the version `base` and the version `next`. */
export const configurationChangeSchema = z.object({
  base: z.number().int().positive(),
  /** Lacks the entries of `unchanged`. The documents of the services in `partial` contain only the routes that changed. */
  next: configurationSchema,
  /** The entries that both versions share: their versions by service. */
  unchanged: z.record(z.string(), z.number().int()),
  /** True if both versions have the same accounts, which `next` then lacks. */
  hasSameAccounts: z.boolean().optional(),
  /** The version of the service in `base`, and the names of the routes that were removed since. */
  partial: z.record(z.string(), z.object({ version: z.number().int(), removedRoutes: z.array(z.string()) }))
})
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>
