/**
 * Credits that were deducted from a bucket elsewhere. Each is lost at its expiry.
 */
interface Lot { credits: number, expiresAt: number }

export class CreditStock {
  private lots: Lot[] = []
  private expired = 0

  add (credits: number, expiresAt: number): void {
    if (credits <= 0) return
    this.lots.push({ credits, expiresAt })
    this.lots.sort((left, right) => left.expiresAt - right.expiresAt)
  }

  count (now: number): number {
    this.evict(now)
    return this.lots.reduce((sum, { credits }) => sum + credits, 0)
  }

  /** Takes up to `wanted` credits of those that expire first. `expiresAt` is the earliest expiry among them. */
  consume (wanted: number, now: number): { credits: number, expiresAt: number } {
    this.evict(now)
    const expiresAt = this.lots[0]?.expiresAt ?? Infinity
    let missing = wanted
    for (const lot of this.lots) {
      const taken = Math.min(lot.credits, missing)
      lot.credits -= taken
      missing -= taken
    }
    this.lots = this.lots.filter(({ credits }) => credits > 0)
    return { credits: wanted - missing, expiresAt }
  }

  /** Returns the number of credits that expired since the last call. */
  collectExpired (): number {
    const { expired } = this
    this.expired = 0
    return expired
  }

  private evict (now: number): void {
    while (this.lots[0] !== undefined && this.lots[0].expiresAt <= now) this.expired += this.lots.shift()?.credits ?? 0
  }
}
