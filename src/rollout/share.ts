/**
 * Limits the requests that one node sends to the new version. Each node keeps to a part of its own requests that is below the bound, so
 * the sum over all nodes keeps to the bound without messages, also when nodes start again or cannot reach each other.
 */

/** The rest of the bound is for requests that this node counts and that others may not, as those that a target refused. */
const PART_OF_SHARE = 0.8

export class ExposureLimit {
  private served = 0
  private sent = 0

  constructor (private readonly exposeShare: number) {}

  /** The part of its own requests that this node sends to the new version. */
  get share (): number {
    return this.exposeShare * PART_OF_SHARE
  }

  /** Called for each request that reached a target of the service, of either version. */
  recordServed (): void {
    this.served += 1
  }

  /** Returns false if the new version may not get another request now. */
  acquire (): boolean {
    if (this.sent + 1 > this.served * this.share) return false
    this.sent += 1
    return true
  }

  /** Returns what `acquire` took for a request that did not reach the new version. */
  release (): void {
    this.sent -= 1
  }

  /** Called for a request that may reach the new version without `acquire`, as one that the earlier version has refused. */
  recordSent (): void {
    this.sent += 1
  }
}
