/**
 * Tells an owner that has been cut off from one whose hosts are silent. After REMOVE_UNREACHABLE_AFTER_MS the others make another host
 * the owner, so that one that is cut off has to stop before.
 */
import type { Clock } from '../core/index.js'

/** Half of the time after which a host that does not respond is removed. */
export const MAX_SILENCE_MS = 5 * 60_000

export class ContactTracker {
  private readonly startedAt: number
  private storeAt: number
  private readonly peersAt = new Map<string, number>()

  constructor (private readonly clock: Clock, private readonly host: string) {
    this.startedAt = clock.monotonic()
    this.storeAt = this.startedAt
  }

  /** Without a peer, the store has responded. */
  record (peer?: string): void {
    if (peer === undefined) this.storeAt = this.clock.monotonic()
    else this.peersAt.set(peer, this.clock.monotonic())
  }

  /** True if neither the store nor most of the hosts of the zone have been heard of for MAX_SILENCE_MS. */
  isIsolated (zoneHosts: readonly string[]): boolean {
    const since = this.clock.monotonic() - MAX_SILENCE_MS
    if (this.storeAt >= since) return false
    const others = zoneHosts.filter(host => host !== this.host)
    const heard = others.filter(host => (this.peersAt.get(host) ?? this.startedAt) >= since)
    return heard.length * 2 < others.length
  }
}
