/**
 * The task that removes targets of the local host whose heartbeats stopped.
 */
import type { Clock } from '../../core/index.js'
import { expireTargets } from '../../membership/index.js'
import type { Announcement, LocalHost } from '../../membership/index.js'

export interface ExpiryContext {
  localHost: LocalHost
  clock: Clock
  getHeartbeatTimeoutMs: () => number
  onExpired: (expired: readonly Announcement[]) => void
}

const CHECK_INTERVAL_MS = 500
/** A sleep that takes this much longer than requested means that the process was paused and has not yet read its targets' heartbeats. */
const PAUSE_THRESHOLD_MS = 500

export async function expireTargetsPeriodically (
  { localHost, clock, getHeartbeatTimeoutMs, onExpired }: ExpiryContext, signal: AbortSignal
): Promise<void> {
  while (!signal.aborted) {
    const sleptAt = clock.monotonic()
    await clock.sleep(CHECK_INTERVAL_MS, signal)
    if (clock.monotonic() - sleptAt > CHECK_INTERVAL_MS + PAUSE_THRESHOLD_MS) continue
    const expired = expireTargets(localHost, clock.monotonic(), getHeartbeatTimeoutMs())
    if (expired.length > 0) onExpired(expired)
  }
}
