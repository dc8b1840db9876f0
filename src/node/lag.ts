/**
 * Tracks how long this node has known of a version of the configuration that is newer than its own. A node that the store serves gets
 * each version from there about as soon as its peers, so it asks a peer only if its own version stays behind. Otherwise a burst of
 * versions would travel between the nodes many times over.
 */
import type { Clock } from '../core/index.js'

/** After a response of the source, versions that follow are collected for less than this time. */
export const BURST_LAG_MS = 1_200
/** A source that has been quiet may have become unresponsive, so its next version is not awaited for long. */
export const QUIET_LAG_MS = 300
const QUIET_AFTER_MS = 2_000

export class VersionLag {
  private awaited: { version: number, since: number } | undefined
  private respondedAt = -Infinity

  constructor (private readonly clock: Clock) {}

  /** The time for which a newer version is awaited from the source. */
  get allowedMs (): number {
    return this.clock.monotonic() - this.respondedAt < QUIET_AFTER_MS ? BURST_LAG_MS : QUIET_LAG_MS
  }

  /** The source returned a version. */
  recordSourceResponse (): void {
    this.respondedAt = this.clock.monotonic()
  }

  /** `version` is that of a peer, `own` that of this node. */
  observe (version: number, own: number): void {
    if (this.awaited !== undefined && this.awaited.version <= own) this.awaited = undefined
    if (version > own) this.awaited ??= { version, since: this.clock.monotonic() }
  }

  isBehind (own: number): boolean {
    return this.awaited !== undefined && this.awaited.version > own && this.clock.monotonic() - this.awaited.since >= this.allowedMs
  }
}
