/**
 * Messages between nodes. Each call compares what both ends hold and brings what one of them lacks.
 */
import { z } from 'zod'
import { configurationSchema } from '../configuration/index.js'
import { hostRecordSchema } from '../membership/index.js'
import { markSchema } from '../suspect/index.js'

const digestSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array)

export const exchangeRequestSchema = z.object({
  host: z.string(),
  /** Of the configuration in force at the caller, 0 for none. */
  version: z.number().int().nonnegative(),
  /** Digest of the host records of each zone. */
  zones: z.record(z.string(), digestSchema),
  /** Records that changed at the caller. */
  records: z.array(hostRecordSchema),
  marks: z.array(markSchema),
  cleared: z.array(z.string())
})
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>

export const exchangeAnswerSchema = z.object({
  version: z.number().int().nonnegative(),
  /** Present when it is newer than the caller's. */
  configuration: configurationSchema.optional(),
  /** Records of the zones in which the digests differ. */
  records: z.array(hostRecordSchema),
  /** The answering node lacks what the caller holds in these zones. */
  differing: z.array(z.string())
})
export type ExchangeAnswer = z.infer<typeof exchangeAnswerSchema>
