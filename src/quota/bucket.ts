/**
 * A token bucket. Only whole credits are taken.
 */
const MS_PER_S = 1_000

export class TokenBucket {
  /** `filledAt` is the time from which the bucket refills; it may lie in the future. */
  constructor (private ratePerSecond: number, private capacity: number, private filledAt: number, private level = 0) {}

  /** Returns the number of credits, with fractions. */
  measure (now: number): number {
    this.advance(now)
    return this.level
  }

  /** Deducts up to `wanted` whole credits and returns their number. */
  consume (wanted: number, now: number): number {
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.measure(now))))
    this.level -= taken
    return taken
  }

  setLimit (ratePerSecond: number, capacity: number, now: number): void {
    this.advance(now)
    this.ratePerSecond = ratePerSecond
    this.capacity = capacity
    this.level = Math.min(this.level, capacity)
  }

  private advance (now: number): void {
    if (now <= this.filledAt) return
    this.level = Math.min(this.capacity, this.level + (now - this.filledAt) * this.ratePerSecond / MS_PER_S)
    this.filledAt = now
  }
}
