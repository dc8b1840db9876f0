/**
 * Tracks how long this node has known of a version of the configuration that is newer than its own. A node that the store serves gets
 * each version from there about as soon as its peers, so it asks a peer only if its own version stays behind. Otherwise a burst of
 * versions would travel between the nodes many times over.
 */
import type { Clock } from '../core/index.js'

/** Above the time for which the source collects versions that follow each other. */
export const MAX_VERSION_LAG_MS = 700

export class VersionLag {
  private awaited: { version: number, since: number } | undefined

  constructor (private readonly clock: Clock) {}

  /** `version` is that of a peer, `own` that of this node. */
  observe (version: number, own: number): void {
    if (this.awaited !== undefined && this.awaited.version <= own) this.awaited = undefined
    if (version > own) this.awaited ??= { version, since: this.clock.monotonic() }
  }

  isBehind (own: number): boolean {
    return this.awaited !== undefined && this.awaited.version > own && this.clock.monotonic() - this.awaited.since >= MAX_VERSION_LAG_MS
  }
}
