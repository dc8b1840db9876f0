/**
 * Duties of relay and head, claimed through the platform.
 */
export { formatHeadDuty, formatRelayDuty, leaseSchema } from './schema.js'
export type { Lease } from './schema.js'
export { isClaimable, readLease } from './queries/holder.js'
export type { HeldLease } from './queries/holder.js'
export { convertObject } from './queries/convert.js'
export { claimLease } from './commands/claim.js'
export type { LeaseGrant } from './commands/claim.js'
export { holdLease } from './tasks/hold.js'
export { PlatformUpstream } from './tasks/source.js'
