/**
 * Versions of documents as they travel between nodes and stand in a snapshot.
 */
import { z } from 'zod'
import { documentSchema } from '../document/index.js'
import type { Target } from '../membership/index.js'

/** One version of one service. Without a document the service is deleted at this version. */
export const entrySchema = z.object({
  service: z.string(),
  version: z.number().int().positive(),
  /** Wall-clock milliseconds, 0 when it is not known. */
  acceptedAt: z.number(),
  hash: z.string(),
  document: documentSchema.optional()
})
export type Entry = z.infer<typeof entrySchema>

export type EntryMap = ReadonlyMap<string, Entry>

/** What a request is routed by. Frozen: a change makes a new one. */
export interface Snapshot {
  readonly serial: number
  readonly entries: EntryMap
  readonly targets: ReadonlyMap<string, readonly Target[]>
}
