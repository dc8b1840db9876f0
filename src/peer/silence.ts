/**
 * Whether an upstream still lives: it sends something at least every SILENCE_MS, and the tick of
 * its root moves while the root reaches the platform.
 */
import type { Clock } from '../core/index.js'
import type { UpstreamEnd } from './upstream.js'

export const SILENCE_MS = 1_500
/** A publisher answers at once; one that does not must not hold up the search for another. */
const ACCEPT_MS = 1_000
const STALL_MS = 3_000
/** A longer gap between two checks means that this process was paused, so nothing is known of the upstream. */
const PAUSE_MS = 750

export class SilenceWatch {
  private heardAt: number
  private checkedAt: number
  private tickAt: number
  private tick = -1
  private sourceUp = false

  constructor (private readonly clock: Clock) {
    this.heardAt = this.checkedAt = this.tickAt = clock.monotonic()
  }

  noteMessage (): void {
    this.heardAt = this.clock.monotonic()
  }

  /** While the source is down a standing tick is expected. */
  noteTick (tick: number, sourceUp: boolean): void {
    if (tick !== this.tick || !sourceUp || !this.sourceUp) this.tickAt = this.clock.monotonic()
    this.tick = tick
    this.sourceUp = sourceUp
  }

  check (address: string, attached: boolean): UpstreamEnd | undefined {
    const now = this.clock.monotonic()
    if (now - this.checkedAt > PAUSE_MS) this.heardAt = this.tickAt = now
    this.checkedAt = now
    const silentMs = Math.round(now - this.heardAt)
    if (silentMs > (attached ? SILENCE_MS : ACCEPT_MS)) return { reason: 'silent', detail: `${address} sent nothing for ${silentMs} ms` }
    const standsMs = Math.round(now - this.tickAt)
    if (this.sourceUp && standsMs > STALL_MS) return { reason: 'stalled', detail: `the tick from ${address} stands still for ${standsMs} ms` }
    return undefined
  }
}
