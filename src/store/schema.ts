/**
 * Objects of the platform's object API. Each write gives the object a higher version for as long
 * as the object exists. Values are at most a megabyte of JSON.
 */
import * as z from 'zod'

/** The kinds of objects that this project stores on the platform. */
export const objectKindSchema = z.enum(['service', 'referrers', 'history', 'host'])
export type ObjectKind = z.infer<typeof objectKindSchema>

export const MAX_VALUE_BYTES = 1_000_000

export const storedObjectSchema = z.object({
  kind: objectKindSchema,
  name: z.string(),
  version: z.number().int().positive(),
  value: z.unknown()
})
export type StoredObject = z.infer<typeof storedObjectSchema>

/**
 * A point in the history of the store. Revisions are ordered within an epoch only: a store that was restored from an older copy has lost
 * the changes after that copy and assigns their revisions again, in a higher epoch.
 */
export const storePositionSchema = z.object({ epoch: z.number().int().nonnegative(), revision: z.number().int().nonnegative() })
export type StorePosition = z.infer<typeof storePositionSchema>

/** A watch that starts from `revision` misses no change after this list. */
export const objectListSchema = z.object({
  /** Absent for a store that is never restored. */
  epoch: z.number().int().nonnegative().optional(),
  revision: z.number().int().nonnegative(),
  objects: z.array(storedObjectSchema)
})
export type ObjectList = z.infer<typeof objectListSchema>

export const watchEventSchema = z.object({
  revision: z.number().int(),
  /** After a removal: the object before the removal. */
  object: storedObjectSchema,
  removed: z.boolean().default(false)
})
export type WatchEvent = z.infer<typeof watchEventSchema>

/** A conditional removal: `expected` is the version to remove. */
export const removalSchema = z.object({
  kind: objectKindSchema,
  name: z.string(),
  expected: z.number().int().positive()
})
export type Removal = z.infer<typeof removalSchema>

/** A conditional write: `expected` is the version to replace, 0 for an object that must not exist yet. */
export const writeSchema = z.object({
  kind: objectKindSchema,
  name: z.string(),
  expected: z.number().int().nonnegative(),
  value: z.unknown()
})
export type Write = z.infer<typeof writeSchema>

/**
 * `conflict`: the object has another version (`version`, 0 when there is no object); nothing was
 * written. `unreachable`: the request did not reach the platform. `unknown`: no response arrived,
 * and a write may have taken effect. `throttled`: rejected by the platform's rate limit.
 * `too-old`: a watch from a revision that the platform no longer has. `restored`: a watch from a
 * position of an earlier epoch. `invalid`: the platform rejected the request, or its response does
 * not parse.
 */
export const storeFaultSchema = z.object({
  code: z.enum(['conflict', 'unreachable', 'unknown', 'throttled', 'too-old', 'restored', 'too-large', 'invalid']),
  message: z.string(),
  version: z.number().int().optional()
})
export type StoreFault = z.infer<typeof storeFaultSchema>
