/**
 * The time that one request has, as one abort signal for all that is done for it. It ends at the
 * deadline or when the sender leaves, whichever is first.
 */
import type { ServerResponse } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import type { Clock } from '../core/index.js'

/** The deadline passed on is shorter by this, so that the next hop's own verdict arrives in time. */
const RESPONSE_MARGIN_MS = 5
const RESPONSE_MARGIN_SHARE = 0.1

export class RequestScope {
  private readonly controller = new AbortController()
  private readonly timer: NodeJS.Timeout
  private readonly startedAt: number
  private readonly endsAt: number
  private callerDisconnected = false

  constructor (private readonly clock: Clock, deadlineMs: number, response: ServerResponse) {
    this.startedAt = clock.monotonic()
    this.endsAt = this.startedAt + deadlineMs
    // The reason tells a deadline from a sender that left: after a deadline, idle connections to the peer are closed.
    this.timer = setTimeout(() => { this.controller.abort(new DOMException('the deadline passed', 'TimeoutError')) }, deadlineMs)
    const end = (): void => {
      clearTimeout(this.timer)
      if (response.writableFinished) return
      this.callerDisconnected = true
      this.controller.abort()
    }
    if (response.closed) end()
    else response.once('close', end)
  }

  /** A request may have lain unread while its sender left; the second turn of the event loop has seen that. */
  async awaitPendingClose (): Promise<void> {
    await setImmediate()
    await setImmediate()
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  get elapsedMs (): number {
    return this.clock.monotonic() - this.startedAt
  }

  get leftMs (): number {
    return this.endsAt - this.clock.monotonic()
  }

  /** Whole milliseconds for the next hop. */
  get forwardedDeadlineMs (): number {
    const left = this.leftMs
    return Math.max(1, Math.floor(left - Math.min(RESPONSE_MARGIN_MS, left * RESPONSE_MARGIN_SHARE)))
  }

  /** The sender closed its connection before it had the whole answer. */
  get isCallerDisconnected (): boolean {
    return this.callerDisconnected
  }

  end (): void {
    clearTimeout(this.timer)
  }
}
