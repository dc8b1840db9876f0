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

/** The limit of an account in the version in force. */
export interface LimitInForce extends Limit {
  /** True if the version before had the account without a limit, so that no window that began before is bounded. */
  startsFull: boolean
}

/*
 * The overage allows requests that fill (window x overage) at the full rate, and the slack a number of requests. Both are shared out among
 * the life of credits, the capacity of the buckets and their rate. Without a part of the slack for the rate, an account of a few requests a
 * second would be refused while it is below the bound.
 */
const LIFETIME_SHARE_OF_OVERAGE = 0.4
const CAPACITY_SHARE_OF_OVERAGE = 0.2
const RATE_SHARE_OF_OVERAGE = 0.3
const CAPACITY_SHARE_OF_SLACK = 0.6
const RATE_SHARE_OF_SLACK = 0.25
/** Longer than a credit needs from an owner in another region over the one in the zone to a node. */
const MAX_CREDIT_LIFETIME_MS = 200
const MS_PER_S = 1_000

/** Returns the time for which a credit may be used after it was deducted from a bucket, wherever it is held. */
export function computeCreditLifetimeMs ({ windowMs, overage }: QuotaBounds): number {
  return Math.min(MAX_CREDIT_LIFETIME_MS, windowMs * overage * LIFETIME_SHARE_OF_OVERAGE)
}

/** Returns the capacity of the bucket of one zone. */
export function computeCapacity ({ windowMs, overage, slack }: QuotaBounds, { ratePerSecond, burst }: Limit, zoneCount: number): number {
  const ofRate = ratePerSecond * windowMs * overage * CAPACITY_SHARE_OF_OVERAGE / MS_PER_S
  return (burst + ofRate + slack * CAPACITY_SHARE_OF_SLACK) / zoneCount
}

/** Returns the credits a second with which the bucket of one zone refills. */
export function computeRate ({ windowMs, overage, slack }: QuotaBounds, { ratePerSecond }: Limit, zoneCount: number): number {
  const ofSlack = slack * RATE_SHARE_OF_SLACK * MS_PER_S / windowMs
  return (ratePerSecond * (1 + overage * RATE_SHARE_OF_OVERAGE) + ofSlack) / zoneCount
}

/** Returns the most requests that may reach targets in one window. */
export function computeBound ({ windowMs, overage, slack }: QuotaBounds, { ratePerSecond, burst }: Limit): number {
  return (ratePerSecond * windowMs / MS_PER_S + burst) * (1 + overage) + slack
}
