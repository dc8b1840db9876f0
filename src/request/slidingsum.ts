/**
 * The sum of the amounts that were added within a time window.
 */
interface Entry { readonly at: number, readonly amount: number }

export class SlidingSum {
  private entries: Entry[] = []
  /** Entries before this index have left the window. */
  private first = 0
  private sum = 0

  constructor (private readonly windowMs: number) {}

  /** The number of entries that are kept. */
  get size (): number {
    return this.entries.length
  }

  /** Times must not decrease from call to call. */
  add (at: number, amount = 1): void {
    this.discardBefore(at - this.windowMs)
    this.entries.push({ at, amount })
    this.sum += amount
  }

  read (at: number): number {
    this.discardBefore(at - this.windowMs)
    return this.sum
  }

  private discardBefore (oldest: number): void {
    for (let entry = this.entries[this.first]; entry !== undefined && entry.at < oldest; entry = this.entries[this.first]) {
      this.sum -= entry.amount
      this.first += 1
    }
    if (this.first === this.entries.length) this.clear()
    else if (this.first * 2 > this.entries.length) this.prune()
  }

  /** Also removes the rounding errors of fractional amounts. */
  private clear (): void {
    this.entries = []
    this.first = 0
    this.sum = 0
  }

  private prune (): void {
    this.entries = this.entries.slice(this.first)
    this.first = 0
  }
}
