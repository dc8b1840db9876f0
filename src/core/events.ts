/**
 * Event streams of the `most` library for code that emits events, and forwarding from a stream to
 * a channel that a task reads with `for await`.
 */
import { from } from 'most'
import type { Stream } from 'most'
import symbolObservable from 'symbol-observable'
import type { Channel } from './channel.js'

/** The package is CommonJS: its symbol is the `default` of what an ES module imports. */
const OBSERVABLE = ((symbolObservable as { default?: symbol }).default ?? symbolObservable) as symbol

interface Listener<T> { next: (value: T) => void, complete: () => void }

/** A hot stream: a listener receives only the events that are emitted after it subscribes. */
export class Emitter<T> {
  private readonly listeners = new Set<Listener<T>>()

  /** Creates a new stream on each access, because a `most` stream shares one subscription between its observers. */
  get stream (): Stream<T> {
    const subscribe = (listener: Listener<T>): { unsubscribe: () => void } => {
      this.listeners.add(listener)
      return { unsubscribe: () => { this.listeners.delete(listener) } }
    }
    const observable = { subscribe, [OBSERVABLE]: () => observable }
    return from(observable as never) as unknown as Stream<T>
  }

  emit (value: T): void {
    for (const listener of [...this.listeners]) listener.next(value)
  }
}

/** Pushes each event into the channel until the signal is aborted. */
export function forwardStream<T extends NonNullable<unknown>> (stream: Stream<T>, channel: Channel<T>, signal: AbortSignal): void {
  const subscription = stream.subscribe({
    next: event => { channel.push(event) },
    error: () => { channel.close() },
    complete: () => {}
  })
  if (signal.aborted) subscription.unsubscribe()
  else signal.addEventListener('abort', () => { subscription.unsubscribe() }, { once: true })
}
