/**
 * The task that drops targets of this host whose heartbeats stopped.
 */
import type { Clock } from '../../core/index.js'
import { expireTargets } from '../../membership/index.js'
import type { Announcement, LocalHost } from '../../membership/index.js'

export interface ExpiryContext {
  localHost: LocalHost
  clock: Clock
  getHeartbeatTimeoutMs: () => number
  onExpired: (silent: readonly Announcement[]) => void
}

const CHECK_INTERVAL_MS = 500
/** Sleeping so much longer than asked means that this process was paused, and its targets' heartbeats wait unread. */
const PAUSE_THRESHOLD_MS = 500

export async function expireTargetsPeriodically (
  { localHost: own, clock, getHeartbeatTimeoutMs: getSilenceMs, onExpired: onSilent }: ExpiryContext, signal: AbortSignal
): Promise<void> {
  while (!signal.aborted) {
    const sleptAt = clock.monotonic()
    await clock.sleep(CHECK_INTERVAL_MS, signal)
    if (clock.monotonic() - sleptAt > CHECK_INTERVAL_MS + PAUSE_THRESHOLD_MS) continue
    const silent = expireTargets(own, clock.monotonic(), getSilenceMs())
    if (silent.length > 0) onSilent(silent)
  }
}
