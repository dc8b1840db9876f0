/**
 * Which hosts and targets exist, as their own nodes say it.
 */
export { announcementSchema, hostRecordSchema, targetStateSchema } from './schema.js'
export type { Announcement, HostRecord, Target, TargetState } from './schema.js'
export { MemberTable } from './table.js'
export { OwnHost } from './own.js'
export type { HostIdentity } from './own.js'
export { announceTarget, ANNOUNCE_TIMEOUT_MS, expireTargets } from './commands/announce.js'
export { leaveHost } from './commands/leave.js'
export { mergeRecords } from './commands/merge.js'
export { compareRecords } from './queries/order.js'
