/**
 * When the next target of this host falls silent if it announces nothing more.
 */
import { ANNOUNCE_TIMEOUT_MS } from '../commands/announce.js'
import type { OwnHost } from '../own.js'

/** Milliseconds from `at`. A target that announces itself meanwhile cannot fall silent before. */
export function computeExpiryWait (own: OwnHost, at: number): number {
  const waits = own.listHeard().map(one => one.at + ANNOUNCE_TIMEOUT_MS - at)
  return Math.max(0, Math.min(ANNOUNCE_TIMEOUT_MS, ...waits))
}
