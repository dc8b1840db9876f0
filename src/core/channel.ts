/**
 * A bounded queue between callbacks and a task that reads it with `for await`.
 */
export class Channel<T extends NonNullable<unknown>> implements AsyncIterable<T> {
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

  /** Resolves with the next item, or with undefined when the channel is closed and has no more items. */
  async receive (): Promise<T | undefined> {
    while (this.items.length === 0 && !this.closed) {
      await new Promise<void>(resolve => { this.wakeReader = resolve })
      this.wakeReader = undefined
    }
    return this.items.shift()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<T> {
    for (let item = await this.receive(); item !== undefined; item = await this.receive()) yield item
  }
}
