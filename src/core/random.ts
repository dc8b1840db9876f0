/**
 * Random number generators are injected, so that tests can repeat a run.
 */
export abstract class Random {
  /** A number in [0, 1). */
  abstract next (): number

  /** An integer in [0, limit). */
  pickIndex (limit: number): number {
    return Math.floor(this.next() * limit)
  }
}

export class SystemRandom extends Random {
  override next (): number {
    return Math.random()
  }
}

/** The mulberry32 generator: small, and the same sequence on every machine for a seed. */
export class SeededRandom extends Random {
  private state: number

  constructor (seed: number) {
    super()
    this.state = seed >>> 0
  }

  override next (): number {
    this.state = (this.state + 0x6D2B79F5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}
