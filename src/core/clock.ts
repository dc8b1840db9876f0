/**
 * Time as a dependency, so that tests own it. All values are milliseconds.
 */
import { setTimeout as delay } from 'node:timers/promises'

export abstract class Clock {
  /** Wall clock, milliseconds since the Unix epoch; may jump. */
  abstract now (): number
  /** Never goes back; has no relation to the wall clock. */
  abstract monotonic (): number
  /** Resolves after the time has passed or the signal is aborted, whichever is first. */
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
