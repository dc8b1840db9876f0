/**
 * Clocks are injected, so that tests control the time. All values are in milliseconds.
 */
import { setTimeout as delay } from 'node:timers/promises'

export abstract class Clock {
  /** Wall clock, milliseconds since the Unix epoch; may jump. */
  abstract now (): number
  /** Never goes back; has no relation to the wall clock. */
  abstract monotonic (): number
  /** Resolves when the time has passed or the signal is aborted, whichever comes first. */
  abstract sleep (ms: number, signal?: AbortSignal): Promise<void>
}

export class SystemClock extends Clock {
  override now (): number {
    return Date.now()
  }

  override monotonic (): number {
    return performance.now()
  }

  override async sleep (ms: number, signal?: AbortSignal): Promise<void> {
    try {
      await delay(ms, undefined, signal === undefined ? {} : { signal })
    } catch (error) {
      if (signal?.aborted !== true) throw error
    }
  }
}
