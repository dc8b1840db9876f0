/**
 * The hosts and targets of the fleet, as the node of each host reports them.
 */
export { announcementSchema, hostRecordSchema, placeNameSchema, recordMarkSchema, startTimeSchema, targetStateSchema } from './schema.js'
export type { Announcement, HostRecord, RecordMark, RecordStamp, Target, TargetProcess, TargetState } from './schema.js'
export { MemberTable } from './table.js'
export { LocalHost } from './localhost.js'
export type { HostIdentity } from './localhost.js'
export { expireTargets, HEARTBEAT_TIMEOUT_MS, registerTarget } from './commands/announce.js'
export { heartbeatSchema, TargetProcesses } from './commands/heartbeat.js'
export type { Heartbeat, HeartbeatOutcome, HeartbeatResult } from './commands/heartbeat.js'
export { markHostLeaving } from './commands/leave.js'
export { replaceRecordMarks } from './commands/mark.js'
export { evictTombstones, makeTombstone, REMOVE_UNREACHABLE_AFTER_MS, TOMBSTONE_RETENTION_MS } from './commands/remove.js'
export { mergeRecords } from './commands/merge.js'
export { supersedeRecord } from './commands/supersede.js'
export { listDifferingBuckets } from './queries/buckets.js'
export { compareRecords, compareRecordStamps, formatRecordStamp } from './queries/order.js'
export { selectUsable } from './queries/usable.js'
