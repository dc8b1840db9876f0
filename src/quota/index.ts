/**
 * Quotas of client accounts across all nodes: token buckets with an owner in each zone, which lends credits to the nodes.
 */
export { QuotaPolicy } from './policy.js'
export type { Credit } from './policy.js'
export { computeBound, computeCapacity, computeCreditLifetimeMs, computeRate } from './limits.js'
export type { Limit, QuotaBounds } from './limits.js'
export { lendRequestSchema, lendResponseSchema } from './schema.js'
export type { LendRequest, LendResponse } from './schema.js'
export { TokenBucket } from './bucket.js'
export { selectOwner } from './queries/owner.js'
export { QuotaService } from './service.js'
export type { QuotaContext, QuotaSettings } from './service.js'
export type { SendLend } from './tasks/batch.js'
export type { QuotaResult } from './commands/acquire.js'
