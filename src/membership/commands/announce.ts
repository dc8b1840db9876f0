/**
 * Announcements of the host's own targets: the first one, heartbeats, and their absence.
 */
import type { OwnHost } from '../own.js'
import type { Announcement, HostRecord } from '../schema.js'

export const ANNOUNCE_TIMEOUT_MS = 3_000

/** Gives a new record when the announcement changed something, nothing for a mere heartbeat. */
export function announceTarget (own: OwnHost, announcement: Announcement, at: number): HostRecord | undefined {
  return own.hear(announcement, at) ? own.makeRecord() : undefined
}

/** Drops targets that have not announced themselves for the timeout; gives their last announcements. */
export function expireTargets (own: OwnHost, at: number, timeoutMs = ANNOUNCE_TIMEOUT_MS): Announcement[] {
  const silent = own.listHeard().filter(one => at - one.at >= timeoutMs)
  const last = silent.flatMap(one => own.find(one.target) ?? [])
  for (const one of silent) own.forget(one.target)
  return last
}
