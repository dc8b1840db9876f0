/**
 * Registers targets of the local host by their announcements, and expires targets whose heartbeats stopped.
 */
import type { LocalHost } from '../localhost.js'
import type { Announcement, HostRecord } from '../schema.js'

export const HEARTBEAT_TIMEOUT_MS = 3_000

/** Returns a new host record if the announcement changed, and undefined for an unchanged heartbeat. */
export function registerTarget (localHost: LocalHost, announcement: Announcement, at: number): HostRecord | undefined {
  return localHost.recordAnnouncement(announcement, at) ? localHost.makeRecord() : undefined
}

/** Removes targets that sent no heartbeat within the timeout. Returns their last announcements. */
export function expireTargets (localHost: LocalHost, at: number, timeoutMs = HEARTBEAT_TIMEOUT_MS): Announcement[] {
  const expired = localHost.listHeartbeats().filter(heartbeat => at - heartbeat.at >= timeoutMs)
  const announcements = expired.flatMap(heartbeat => localHost.findAnnouncement(heartbeat.target) ?? [])
  for (const heartbeat of expired) localHost.removeTarget(heartbeat.target)
  return announcements
}
