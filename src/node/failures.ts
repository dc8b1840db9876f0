/**
 * Peers that did not answer lately. They are not tried again for a while, and a duty that one of
 * them holds may be claimed.
 */
import type { Clock } from '../core/index.js'

const REMEMBERED_MS = 3_000

export class PeerFailures {
  private readonly failedAt = new Map<string, number>()

  constructor (private readonly clock: Clock) {}

  note (peer: string): void {
    this.failedAt.set(peer, this.clock.monotonic())
  }

  clear (peer: string): void {
    this.failedAt.delete(peer)
  }

  has (peer: string): boolean {
    const at = this.failedAt.get(peer)
    return at !== undefined && this.clock.monotonic() - at < REMEMBERED_MS
  }
}
