/**
 * The platform's objects that hold documents: `service` (the edit in force), `referrers` (which
 * services refer to one) and `history` (the last edits), each by the name of the service.
 */
import { z } from 'zod'
import { nameSchema } from './schema.js'

const versionSchema = z.number().int().positive()

/** The version is the last one that carried the edit; see commands/fence.ts for why there may be several. */
export const earlierEditSchema = z.object({ editId: z.string(), version: versionSchema })

/** A deleted service keeps a value without a document, so that its versions go on rising. */
export const editSchema = z.object({
  editId: z.string(),
  /** Newest first. They tell a tool that lost the answer to its write what became of it. */
  earlierEdits: z.array(earlierEditSchema).default([]),
  author: z.string().default('unknown'),
  /** Wall clock of the tool in ms. */
  acceptedAt: z.number(),
  /** When the object was last written again unchanged, see commands/fence.ts. */
  fencedAt: z.number().optional(),
  document: z.unknown().optional(),
  deleted: z.boolean().default(false)
})
export type Edit = z.infer<typeof editSchema>

/**
 * Who refers, or may be about to refer, to a service: the referrer's name with the version of its
 * own object that its edit is conditioned on. `closing` is the version of the service that a
 * deletion is conditioned on; while it stands no referrer is added.
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
