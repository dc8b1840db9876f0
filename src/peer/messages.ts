/**
 * Messages between nodes and from the operator's tool to a node. Each exchange between two nodes compares
 * their state and transfers the parts that either of them lacks. Times are in milliseconds.
 */
import * as z from 'zod'
import { configurationChangeSchema, configurationSchema, refusedVersionSchema } from '../configuration/index.js'
import { hostRecordSchema } from '../membership/index.js'
import { rolloutSetSchema } from '../rollout/index.js'
import { storePositionSchema } from '../store/index.js'
import { eventFilterSchema, hybridTimeSchema, timelineEventSchema } from '../timeline/index.js'

/**
 * A record that does not match the schema is left out. It may have been taken by a node with another version of this program, and each
 * message of that node has it until the record changes.
 */
const recordsSchema = z.array(z.unknown()).transform(values => values.flatMap(value => hostRecordSchema.safeParse(value).data ?? []))

const digestSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array)

export const exchangeRequestSchema = z.object({
  host: z.string(),
  /** Version of the configuration in force at the requesting node, 0 for none. */
  version: z.number().int().nonnegative(),
  /** The change to `version` from the version before it, for a node that may have that one. */
  configurationChange: configurationChangeSchema.optional(),
  /** The response is to contain a configuration that is newer. */
  wantsConfiguration: z.boolean(),
  /** Digest of the host records of each zone. */
  zones: z.record(z.string(), digestSchema),
  /** Records that changed at the requesting node, or all records of the buckets in `complete`. */
  records: recordsSchema,
  /** Buckets, by zone, for which `records` has every record of the requesting node. */
  complete: z.record(z.string(), z.array(z.number().int())).optional(),
  /** Fingerprints of requests that completed at the requesting node. */
  cleared: z.array(z.string()),
  /** The position of the rollouts that the requesting node knows. */
  rolloutPosition: storePositionSchema.optional(),
  /** Present while a rollout is running or has changed lately. */
  rollouts: rolloutSetSchema.optional(),
  stamp: hybridTimeSchema
})
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>

export const exchangeResponseSchema = z.object({
  version: z.number().int().nonnegative(),
  /** True if the responding node follows the source of the configuration itself. */
  followsSource: z.boolean(),
  /** A newer configuration, if the requesting node wants it and its own version is no longer known. */
  configuration: configurationSchema.optional(),
  /** A newer configuration, if the requesting node wants it, as the change from its own version. */
  configurationChange: configurationChangeSchema.optional(),
  /** Records that the requesting node may lack. */
  records: recordsSchema,
  /** Small zones whose digests differ; `records` has every record of them that this node has. */
  differing: z.array(z.string()),
  /** Bucket digests of the larger zones whose digests differ. */
  buckets: z.record(z.string(), digestSchema),
  /** Rollouts at a later position than that of the requesting node. */
  rollouts: rolloutSetSchema.optional(),
  stamp: hybridTimeSchema
})
export type ExchangeResponse = z.infer<typeof exchangeResponseSchema>

export const statusRequestSchema = z.object({})
export type StatusRequest = z.infer<typeof statusRequestSchema>

export const statusResponseSchema = z.object({
  node: z.string(),
  zone: z.string(),
  region: z.string(),
  ready: z.boolean(),
  /** True while this node can reach the store. */
  source: z.boolean(),
  /** Version of the configuration in force as a whole. */
  version: z.number().int(),
  /** Version in force of each service. */
  versions: z.record(z.string(), z.number().int()),
  refused: z.array(refusedVersionSchema),
  records: recordsSchema
})
export type StatusResponse = z.infer<typeof statusResponseSchema>

export const timelineRequestSchema = z.object({ filter: eventFilterSchema })
export type TimelineRequest = z.infer<typeof timelineRequestSchema>

export const timelineResponseSchema = z.object({ events: z.array(timelineEventSchema) })
export type TimelineResponse = z.infer<typeof timelineResponseSchema>

export const drainRequestSchema = z.object({ token: z.string().optional() })
export type DrainRequest = z.infer<typeof drainRequestSchema>

export const drainResponseSchema = z.object({ accepted: z.boolean(), message: z.string() })
export type DrainResponse = z.infer<typeof drainResponseSchema>
