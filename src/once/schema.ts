/**
 * Claims on idempotency keys, kept on the platform in shard objects. A shard has the claims of
 * 10 s of key time and one sixteenth of the keys. Times are milliseconds.
 */
import { z } from 'zod'

export const BUCKET_MS = 10_000
export const SHARDS = 16
/** Keys are refused an hour before their shard may be removed, which covers clocks that differ. */
export const KEY_MAX_AGE_MS = 23 * 3_600_000
export const KEY_MAX_AHEAD_MS = 5 * 60_000
export const SHARD_KEPT_MS = 24 * 3_600_000
export const MAX_KEY_CHARACTERS = 255
/** Longest response body that is kept for a resend. */
export const MAX_KEPT_BODY_BYTES = 2_048

/**
 * `claimed`: the claimant may have sent the request on. `released`: certainly not run, free to be
 * claimed again. `done`: a target responded; without `body` when that was too large to keep.
 */
export const claimSchema = z.object({
  /** Unique for each send of a caller, so a claimant recognizes its own entry when it reads back. */
  attempt: z.string(),
  node: z.string(),
  /** Of method, path and body. */
  hash: z.string(),
  state: z.enum(['claimed', 'released', 'done']),
  status: z.number().int().optional(),
  type: z.string().optional(),
  /** Base64. */
  body: z.string().optional()
})
export type Claim = z.infer<typeof claimSchema>

/** Claims by id, which is the service and the key. */
export const shardSchema = z.object({ claims: z.record(z.string(), claimSchema) })
export type Shard = z.infer<typeof shardSchema>

export const outcomeSchema = claimSchema.pick({ state: true, status: true, type: true, body: true })
export type Outcome = z.infer<typeof outcomeSchema>

/** Expired buckets before this one have been removed from the shard number that the cursor is for. */
export const cursorSchema = z.object({ bucket: z.number().int() })
export type Cursor = z.infer<typeof cursorSchema>

/** What a caller's send claims. */
export const claimRequestSchema = z.object({ service: z.string(), key: z.string(), timeMs: z.number(), hash: z.string() })
export type ClaimRequest = z.infer<typeof claimRequestSchema>
