/**
 * Messages about host records. On connect the subscriber sends digests of its zones with its
 * hello. For each zone that differs the publisher sends the digests of its buckets, the subscriber
 * answers with its records of the buckets that differ, and the publisher with those of its own
 * that outrank them. After that, records travel as they change.
 */
import { z } from 'zod'
import { hostRecordSchema } from '../membership/index.js'

const bytesSchema = z.instanceof(Uint8Array)

/** By zone: eight bytes over its records. */
export const digestsSchema = z.record(z.string(), bytesSchema)
export type Digests = z.infer<typeof digestsSchema>

/** By zone: four bytes over the records of each of its buckets. */
export const bucketsSchema = z.object({ type: z.literal('buckets'), zones: z.record(z.string(), bytesSchema) })
export type Buckets = z.infer<typeof bucketsSchema>

/** `complete` names buckets, by zone, of which `records` holds all that the sender has. */
export const membersSchema = z.object({
  type: z.literal('members'),
  records: z.array(hostRecordSchema),
  complete: z.record(z.string(), z.array(z.number().int())).optional()
})
export type Members = z.infer<typeof membersSchema>
