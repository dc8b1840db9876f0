/**
 * The rate at which credits are asked for, averaged over about a second with the most recent ones counting most.
 */
const AVERAGING_MS = 1_000
const MS_PER_S = 1_000

export class DemandMeter {
  private weight = 0
  private at = -Infinity

  record (credits: number, now: number): void {
    this.weight = this.measureWeight(now) + credits
    this.at = now
  }

  measurePerSecond (now: number): number {
    return this.measureWeight(now) * MS_PER_S / AVERAGING_MS
  }

  private measureWeight (now: number): number {
    return this.weight * Math.exp((this.at - now) / AVERAGING_MS)
  }
}
