/**
 * Periodic items for a task that reads a channel, driven by the given clock.
 */
import type { Channel } from './channel.js'
import type { Clock } from './clock.js'

export async function pushEvery<T> (clock: Clock, intervalMs: number, channel: Channel<T>, item: T, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(intervalMs, signal)
    if (!signal.aborted) channel.push(item)
  }
}
