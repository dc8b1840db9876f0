/**
 * The lifetime of one request, with one abort signal for all work on it. The signal aborts at the deadline, or earlier if the caller
 * disconnects. On a target-side node, the caller is the caller-side node.
 */
import type { ServerResponse } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import type { Clock } from '../core/index.js'

/** The deadline that is forwarded is shorter by the smaller of these two, so that the verdict of the next hop arrives before this deadline. */
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
    // The abort reason distinguishes the deadline from a disconnect: after a deadline, idle connections to the peer are closed.
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

  /**
   * Waits until a disconnect that is already pending has been processed. A request may stay unread in a busy process while its caller
   * disconnects; that is detected by the second turn of the event loop.
   */
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

  /** The deadline for the next hop, in whole milliseconds. */
  get forwardedDeadlineMs (): number {
    const remainingMs = this.leftMs
    return Math.max(1, Math.floor(remainingMs - Math.min(RESPONSE_MARGIN_MS, remainingMs * RESPONSE_MARGIN_SHARE)))
  }

  /** True if the caller closed its connection before the response was complete. */
  get isCallerDisconnected (): boolean {
    return this.callerDisconnected
  }

  end (): void {
    clearTimeout(this.timer)
  }
}
