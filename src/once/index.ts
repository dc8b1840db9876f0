/**
 * At-most-once requests: claims on idempotency keys.
 */
export { claimKey } from './commands/claim.js'
export type { Claimed, Ticket } from './commands/claim.js'
export { settleClaim } from './commands/settle.js'
export { ClaimLedger } from './ledger.js'
export type { LedgerContext } from './ledger.js'
export { hashRequest } from './queries/hash.js'
export { readKeyTime } from './queries/key.js'
export { findPlace, formatShardName } from './queries/place.js'
export { resolveResend } from './queries/resend.js'
export type { Replay } from './queries/resend.js'
export { pruneShards } from './tasks/prune.js'
export { BUCKET_MS, claimSchema, KEY_MAX_AGE_MS, MAX_KEPT_BODY_BYTES, shardSchema, SHARD_KEPT_MS, SHARDS } from './schema.js'
export type { Claim, ClaimRequest, Outcome } from './schema.js'
