/**
 * What the bound on an account's requests in a window allows: the capacity of the buckets and the lifetime of a credit.
 */
export interface QuotaBounds {
  windowMs: number
  /** Share of the limit by which a window may exceed it. */
  overage: number
  /** Requests by which a window may exceed the limit besides. */
  slack: number
}

/** The limit of one account, over all zones. */
export interface Limit { ratePerSecond: number, burst: number }

/** The rest of the slack is for requests that reach a target later than others after their credit was taken. */
const CAPACITY_SHARE_OF_SLACK = 0.8
/** The rest of the overage is for the time from taking a credit to reaching a target. */
const LIFETIME_SHARE_OF_OVERAGE = 0.5
/** A longer life would not avoid refusals: credits cross regions twice in 80 ms. */
const MAX_CREDIT_LIFETIME_MS = 250

/** Returns the time for which a credit may be used after it was deducted from a bucket, wherever it is held. */
export function computeCreditLifetimeMs ({ windowMs, overage }: QuotaBounds): number {
  return Math.min(MAX_CREDIT_LIFETIME_MS, windowMs * overage * LIFETIME_SHARE_OF_OVERAGE)
}

/** Returns the capacity of the bucket of one zone. */
export function computeCapacity ({ slack }: QuotaBounds, { burst }: Limit, zoneCount: number): number {
  return (burst + slack * CAPACITY_SHARE_OF_SLACK) / zoneCount
}

/** Returns the most requests that may reach targets in one window. */
export function computeBound ({ windowMs, overage, slack }: QuotaBounds, { ratePerSecond, burst }: Limit): number {
  return (ratePerSecond * windowMs / 1_000 + burst) * (1 + overage) + slack
}
