/**
 * Messages on the stream between two nodes. `Up` goes from subscriber to publisher, `Down` the
 * other way. Versions are the platform's, times are milliseconds, addresses `ip:port`.
 */
import { z } from 'zod'
import { hostRecordSchema } from '../membership/index.js'
import { suspectsSchema } from '../suspect/index.js'
import { eventFilterSchema, timelineEventSchema } from '../timeline/index.js'
import { bucketsSchema, digestsSchema, membersSchema } from './members.js'

/** Hybrid logical time of the sender, so that events of two nodes can be ordered. */
export const stampSchema = z.object({ wall: z.number(), counter: z.number().int() })
export type Stamp = z.infer<typeof stampSchema>

export const vectorSchema = z.record(z.string(), z.number().int())

const helloSchema = z.object({
  type: z.literal('hello'),
  node: z.string(),
  zone: z.string(),
  region: z.string(),
  peer: z.string(),
  duties: z.array(z.string()),
  vector: vectorSchema,
  members: digestsSchema
})
export type Hello = z.infer<typeof helloSchema>

export const laggingSchema = z.object({ node: z.string(), service: z.string(), version: z.number().int(), reason: z.string() })
export type Lagging = z.infer<typeof laggingSchema>

/** Of the subtree: nodes by version in force, for the services named. A version of 0 means none. */
const ackSchema = z.object({
  type: z.literal('ack'),
  counts: z.record(z.string(), z.record(z.string(), z.number().int())),
  lagging: z.array(laggingSchema)
})
export type Ack = z.infer<typeof ackSchema>

const resendSchema = z.object({ type: z.literal('resend'), service: z.string() })

export const upSchema = z.discriminatedUnion('type', [helloSchema, ackSchema, membersSchema, resendSchema, suspectsSchema])
export type Up = z.infer<typeof upSchema>

const acceptSchema = z.object({
  type: z.literal('accept'),
  node: z.string(),
  region: z.string(),
  sourceUp: z.boolean(),
  path: z.array(z.string()),
  pathPeers: z.array(z.string()),
  candidates: z.array(z.string())
})
export type Accept = z.infer<typeof acceptSchema>

const redirectSchema = z.object({ type: z.literal('redirect'), peers: z.array(z.string()) })
/** `duties` are the publisher's own, so that a claimant sees when a restarted node no longer has the duty of its lease. */
const retrySchema = z.object({ type: z.literal('retry'), afterMs: z.number().int(), duties: z.array(z.string()) })

/** Exactly one of `text` (canonical JSON) and `patch` (against version `base`), or neither for a deletion. */
const updateSchema = z.object({
  type: z.literal('update'),
  service: z.string(),
  version: z.number().int(),
  acceptedAt: z.number(),
  hash: z.string(),
  base: z.number().int().optional(),
  patch: z.unknown().optional(),
  text: z.string().optional()
})
export type Update = z.infer<typeof updateSchema>

const syncedSchema = z.object({ type: z.literal('synced') })

/** Where the publisher stands. `candidates` are the peers that may claim its duty when it goes silent. */
const positionSchema = z.object({ path: z.array(z.string()), pathPeers: z.array(z.string()), candidates: z.array(z.string()), stamp: stampSchema })
export type Position = z.infer<typeof positionSchema>

/**
 * `tick` counts beats of the node at the root. The position is sent when it changed and every
 * few seconds, since it is the larger part and rarely changes.
 */
const beatSchema = z.object({
  type: z.literal('beat'),
  tick: z.number().int(),
  sourceUp: z.boolean(),
  position: positionSchema.optional()
})
export type Beat = z.infer<typeof beatSchema>

export const downSchema = z.discriminatedUnion('type', [
  acceptSchema, redirectSchema, retrySchema, updateSchema, membersSchema, bucketsSchema, syncedSchema, beatSchema, suspectsSchema
])
export type Down = z.infer<typeof downSchema>

/** A read of everything a node holds, for a node that starts. */
export const fetchRequestSchema = z.object({ node: z.string() })
export type FetchRequest = z.infer<typeof fetchRequestSchema>

export const fetchAnswerSchema = z.object({
  ready: z.boolean(),
  updates: z.array(updateSchema),
  records: z.array(hostRecordSchema),
  duties: z.record(z.string(), z.string())
})
export type FetchAnswer = z.infer<typeof fetchAnswerSchema>

/** What the operator's tool asks of a node. */
export const statusRequestSchema = z.object({})
export type StatusRequest = z.infer<typeof statusRequestSchema>

export const statusAnswerSchema = z.object({
  node: z.string(),
  zone: z.string(),
  region: z.string(),
  ready: z.boolean(),
  duties: z.array(z.string()),
  upstream: z.string(),
  nodes: z.number().int(),
  counts: z.record(z.string(), z.record(z.string(), z.number().int())),
  /** The counts by what they come from: the node itself and each of its subscribers with its subtree. */
  sources: z.record(z.string(), z.record(z.string(), z.record(z.string(), z.number().int()))).default({}),
  lagging: z.array(laggingSchema),
  refused: z.array(z.object({ service: z.string(), version: z.number().int(), reason: z.string() })),
  records: z.array(hostRecordSchema)
})
export type StatusAnswer = z.infer<typeof statusAnswerSchema>

export const timelineRequestSchema = z.object({ filter: eventFilterSchema })
export type TimelineRequest = z.infer<typeof timelineRequestSchema>

export const timelineAnswerSchema = z.object({ events: z.array(timelineEventSchema) })
export type TimelineAnswer = z.infer<typeof timelineAnswerSchema>

export const drainRequestSchema = z.object({ token: z.string().optional() })
export type DrainRequest = z.infer<typeof drainRequestSchema>

export const drainAnswerSchema = z.object({ accepted: z.boolean(), message: z.string() })
export type DrainAnswer = z.infer<typeof drainAnswerSchema>
