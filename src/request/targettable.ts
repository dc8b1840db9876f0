/**
 * What a picker holds for each target, from its first use until the target has had no call for a long time.
 */
import { getOrMake } from '../core/index.js'
import type { Target } from '../membership/index.js'

/** `usedAt` is the time of the last call on the monotonic clock. */
interface TargetUse { inFlight: number, usedAt: number }

/** Entries of targets without calls for this time are evicted. */
export const UNUSED_TARGET_MS = 300_000

export class TargetTable<T extends TargetUse> {
  private readonly entries = new Map<string, T>()

  constructor (private readonly make: () => T) {}

  get ({ id }: Target): T {
    return getOrMake(this.entries, id, this.make)
  }

  find ({ id }: Target): T | undefined {
    return this.entries.get(id)
  }

  evictUnused (at: number): void {
    for (const [id, { inFlight, usedAt }] of this.entries) if (inFlight === 0 && at - usedAt > UNUSED_TARGET_MS) this.entries.delete(id)
  }
}
