/**
 * Duties of relay and head, claimed through the platform.
 */
export { formatHeadDuty, formatRelayDuty, LEASE_MS, leaseSchema, RENEW_INTERVAL_MS } from './schema.js'
export type { Lease } from './schema.js'
export { LeaseObserver, readLease } from './queries/holder.js'
export type { HeldLease } from './queries/holder.js'
export { convertObject } from './queries/convert.js'
export { renewLease, writeLease } from './commands/claim.js'
export type { LeaseGrant } from './commands/claim.js'
export { holdLease } from './tasks/hold.js'
export { PlatformUpstream } from './tasks/source.js'
