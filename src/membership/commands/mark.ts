/**
 * Replaces the requests that the record of the local host names as having crashed a target of this host.
 */
import type { LocalHost } from '../localhost.js'
import { MAX_RECORD_MARKS } from '../schema.js'
import type { HostRecord, RecordMark } from '../schema.js'

/** `marks` are ordered by time. Returns a new host record if they changed. */
export function replaceRecordMarks (localHost: LocalHost, marks: readonly RecordMark[]): HostRecord | undefined {
  return localHost.replaceMarks(marks.slice(-MAX_RECORD_MARKS)) ? localHost.makeRecord() : undefined
}
