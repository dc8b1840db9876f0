/**
 * Which hosts and targets exist, as their own nodes say it.
 */
export { announcementSchema, hostRecordSchema, targetStateSchema } from './schema.js'
export type { Announcement, HostRecord, Stamp, Target, TargetState } from './schema.js'
export { MemberTable } from './table.js'
export { OwnHost } from './own.js'
export type { HostIdentity } from './own.js'
export { announceTarget, ANNOUNCE_TIMEOUT_MS, expireTargets } from './commands/announce.js'
export { heartbeatSchema, TargetLives } from './commands/heartbeat.js'
export type { Heard, HeardAs, Heartbeat } from './commands/heartbeat.js'
export { leaveHost } from './commands/leave.js'
export { FORGET_AFTER_MS, forgetRemoved, makeGone, REMOVE_AFTER_MS } from './commands/remove.js'
export { mergeRecords } from './commands/merge.js'
export { answerRecord } from './commands/answer.js'
export { listDifferingBuckets } from './queries/buckets.js'
export { compareRecords, formatStamp } from './queries/order.js'
export { selectUsable } from './queries/usable.js'
