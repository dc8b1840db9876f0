/**
 * Announcements of the host's own targets: the first one, heartbeats, and their absence.
 */
import type { LocalHost } from '../localhost.js'
import type { Announcement, HostRecord } from '../schema.js'

export const HEARTBEAT_TIMEOUT_MS = 3_000

/** Gives a new record when the announcement changed something, nothing for a mere heartbeat. */
export function registerTarget (own: LocalHost, announcement: Announcement, at: number): HostRecord | undefined {
  return own.recordAnnouncement(announcement, at) ? own.makeRecord() : undefined
}

/** Drops targets that have not announced themselves for the timeout; gives their last announcements. */
export function expireTargets (own: LocalHost, at: number, timeoutMs = HEARTBEAT_TIMEOUT_MS): Announcement[] {
  const silent = own.listHeartbeats().filter(one => at - one.at >= timeoutMs)
  const last = silent.flatMap(one => own.findAnnouncement(one.target) ?? [])
  for (const one of silent) own.removeTarget(one.target)
  return last
}
