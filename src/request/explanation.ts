/**
 * The question what a node would do with a request, and its answer. Times are in milliseconds.
 */
import * as z from 'zod'
import { failureSchema } from '../core/index.js'

export const explainRequestSchema = z.object({
  method: z.string(),
  path: z.string(),
  /** The `Host` header. */
  host: z.string(),
  /** Length of the body, 0 for none. */
  bodyBytes: z.number().int().nonnegative(),
  /** SHA-256 hash of the key, in base64url. Identifies an account, so it must not be logged. */
  keyHash: z.string().optional(),
  deadlineMs: z.number().int().positive().optional()
})
export type ExplainRequest = z.infer<typeof explainRequestSchema>

const candidateSchema = z.object({
  target: z.string(),
  zone: z.string(),
  region: z.string(),
  state: z.enum(['available', 'backing-off', 'unreachable']),
  delayMs: z.number(),
  parts: z.object({ serviceMs: z.number(), queueMs: z.number(), failureMs: z.number(), distanceMs: z.number() }),
  /** The next pick may yield the target. */
  isCandidate: z.boolean()
})

/** `send`: to one of the candidates, where the request is expected to wait `waitMs`. `refuse`: with a failure, sending nothing. */
const actionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('send'), targets: z.array(z.string()), waitMs: z.number() }),
  z.object({ kind: z.literal('refuse'), failure: failureSchema })
])
export type ExplainedAction = z.infer<typeof actionSchema>

/** Named values of a part of the path that only some deployments have. */
const sectionSchema = z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
export type ExplanationSection = z.infer<typeof sectionSchema>

export const explainResponseSchema = z.object({
  node: z.string(),
  zone: z.string(),
  /** Version of the configuration in force at the node. */
  version: z.number().int(),
  /** Absent if the request counts for no account, or is refused before the account is known. */
  account: z.object({ name: z.string(), class: z.string().optional() }).optional(),
  route: z.object({
    document: z.string(), version: z.number().int(), name: z.string(), kind: z.string(), class: z.string(), deadlineMs: z.number()
  }).optional(),
  /** The service whose targets serve the request. */
  service: z.string().optional(),
  /** The best first. Absent if the picker does not compare expected delays. */
  candidates: z.array(candidateSchema).optional(),
  quota: sectionSchema.optional(),
  rollout: sectionSchema.optional(),
  action: actionSchema
})
export type ExplainResponse = z.infer<typeof explainResponseSchema>
