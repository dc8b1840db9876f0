/**
 * The platform's objects for documents: `service` (the edit in force), `referrers` (the services
 * that refer to the service) and `history` (the last edits), each under the name of the service.
 */
import * as z from 'zod'
import { nameSchema } from './schema.js'

const versionSchema = z.number().int().positive()

/** `version` is the last version with the edit. Fences give one edit several versions, see commands/fence.ts. */
export const earlierEditSchema = z.object({ editId: z.string(), version: versionSchema })

/** A deleted service keeps a value without a document, so that its versions continue to rise. */
export const editSchema = z.object({
  editId: z.string(),
  /** Newest first. A tool that lost the response to its write finds the outcome here. */
  earlierEdits: z.array(earlierEditSchema).default([]),
  author: z.string().default('unknown'),
  /** Wall clock of the tool in ms. */
  acceptedAt: z.number(),
  /** When the object was last rewritten unchanged, see commands/fence.ts. */
  fencedAt: z.number().optional(),
  document: z.unknown().optional(),
  deleted: z.boolean().default(false)
})
export type Edit = z.infer<typeof editSchema>

/**
 * The services that refer, or may soon refer, to a service: the name of each referrer with the
 * version of the referrer's object that its edit is conditional on. `closing` is the version of the
 * service that a deletion is conditional on; while it is set no referrer is added.
 */
export const referrersSchema = z.object({
  referrers: z.record(nameSchema, z.number().int().nonnegative()).default({}),
  closing: versionSchema.optional()
})
export type Referrers = z.infer<typeof referrersSchema>

export const pastEditSchema = editSchema.omit({ earlierEdits: true, fencedAt: true }).extend({ version: versionSchema })
export type PastEdit = z.infer<typeof pastEditSchema>

/** Newest first. */
export const historySchema = z.object({ edits: z.array(pastEditSchema).default([]) })
export type History = z.infer<typeof historySchema>
