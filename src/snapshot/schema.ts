/**
 * Versions of documents, as sent between nodes and as part of a snapshot.
 */
import * as z from 'zod'
import { sentDocumentSchema } from '../document/index.js'
import type { Target } from '../membership/index.js'

/** One version of one service. Without a document the service is deleted at this version. */
export const entrySchema = z.object({
  service: z.string(),
  version: z.number().int().positive(),
  /** Wall-clock milliseconds, 0 if unknown. */
  acceptedAt: z.number(),
  hash: z.string(),
  document: sentDocumentSchema.optional()
})
export type Entry = z.infer<typeof entrySchema>

export type EntryMap = ReadonlyMap<string, Entry>

/** The versions and targets by which requests are routed. A snapshot is frozen, and each change makes a new one. */
export interface Snapshot {
  readonly serial: number
  readonly entries: EntryMap
  readonly targets: ReadonlyMap<string, readonly Target[]>
}
