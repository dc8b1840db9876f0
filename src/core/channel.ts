/**
 * A bounded queue between callbacks and a task that reads it with `for await`.
 */
export class Channel<T> implements AsyncIterable<T> {
  private readonly items: T[] = []
  private wakeReader: (() => void) | undefined
  private closed = false

  constructor (private readonly capacity = Infinity) {}

  /** Returns false without adding the item when the channel is closed or full. */
  push (item: T): boolean {
    if (this.closed || this.items.length >= this.capacity) return false
    this.items.push(item)
    this.wakeReader?.()
    return true
  }

  close (): void {
    this.closed = true
    this.wakeReader?.()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<T> {
    while (true) {
      while (this.items.length > 0) yield this.items.shift() as T
      if (this.closed) return
      await new Promise<void>(resolve => { this.wakeReader = resolve })
      this.wakeReader = undefined
    }
  }
}
