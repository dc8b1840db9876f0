/**
 * The owner of buckets: issues credits from the buckets of its zone, and borrows from the owners of other zones when one runs low.
 */
import type { Clock } from '../../core/index.js'
import { TokenBucket } from '../bucket.js'
import { DemandMeter } from '../demand.js'
import type { OwnerDirectory } from '../directory.js'
import { computeCapacity, computeCreditLifetimeMs } from '../limits.js'
import type { Limit, QuotaBounds } from '../limits.js'
import type { Loan, LoanRequest } from '../schema.js'
import { CreditStock } from '../stock.js'
import type { LoanBatcher } from '../tasks/batch.js'
import { borrowCredits } from '../tasks/borrow.js'

export interface OwnerContext {
  host: string
  bounds: QuotaBounds
  directory: OwnerDirectory
  batcher: LoanBatcher
  clock: Clock
  /** Returns the limits in force, by account. Accounts without a limit are absent. */
  getLimits: () => ReadonlyMap<string, Limit>
  /** True if this node has been cut off for so long that another host may own its buckets. */
  isIsolated: () => boolean
}

/** Time for which a new owner issues nothing, within which the hosts of its zone learn of the change and the earlier owner stops. */
export const TAKEOVER_MS = 2_000
/** A request waits for credits from other zones at most this long. It is two round trips between regions. */
const BORROW_WAIT_MS = 100
const MIN_BORROW_INTERVAL_MS = 100
/** While the other zones have no credit either, they are asked less often. */
const MAX_BORROW_INTERVAL_MS = 400
/** An owner borrows ahead when it has less than what is asked of it in this time. */
const LOW_STOCK_S = 0.1
/** It then borrows what is asked of it in this time, which is shorter than the life of a credit. */
const BORROWED_STOCK_S = 0.2
const MIN_RETRY_AFTER_MS = 50
const MAX_RETRY_AFTER_MS = 1_000
const MS_PER_S = 1_000

interface Holding {
  limit: Limit
  bucket: TokenBucket
  borrowed: CreditStock
  demand: DemandMeter
  borrowing: Promise<unknown> | undefined
  nextBorrowAt: number
  borrowIntervalMs: number
}

export class BucketOwner {
  private readonly holdings = new Map<string, Holding>()
  private readonly lifetimeMs: number
  private zoneCount = 0

  constructor (private readonly context: OwnerContext) {
    this.lifetimeMs = computeCreditLifetimeMs(context.bounds)
  }

  get accountCount (): number {
    return this.holdings.size
  }

  /** Handles a request of a node, or of the owner of another zone, which never waits for a third one. */
  async lend ({ account, credits }: LoanRequest, isOwner: boolean): Promise<Loan> {
    this.update()
    const holding = this.holdings.get(account)
    if (holding === undefined) return this.respondWithoutBucket(account, credits)
    if (this.context.isIsolated()) return { credits: 0, notOwner: true }
    return isOwner ? this.lendToOwner(holding, credits) : await this.lendToNode(account, holding, credits)
  }

  /** Begins and ends the ownership of buckets by the limits and hosts that are known now. Called often, since a bucket refills from its begin. */
  update (): void {
    const { directory, bounds, clock, getLimits } = this.context
    const limits = getLimits()
    const now = clock.monotonic()
    for (const account of this.holdings.keys()) if (!limits.has(account) || !directory.isOwner(account)) this.holdings.delete(account)
    const { zoneCount } = directory
    for (const [account, limit] of limits) {
      const holding = this.holdings.get(account)
      const rate = limit.ratePerSecond / zoneCount
      const capacity = computeCapacity(bounds, limit, zoneCount)
      if (holding === undefined && directory.isOwner(account)) {
        this.holdings.set(account, makeHolding(limit, new TokenBucket(rate, capacity, now + TAKEOVER_MS)))
      }
      if (holding === undefined || (holding.limit === limit && zoneCount === this.zoneCount)) continue
      holding.limit = limit
      holding.bucket.setLimit(rate, capacity, now)
    }
    this.zoneCount = zoneCount
  }

  /** An account whose limit was removed in the version of this node gets what the other node asks for. */
  private respondWithoutBucket (account: string, credits: number): Loan {
    const { getLimits, directory } = this.context
    if (directory.isOwner(account) && !getLimits().has(account)) return { credits, validMs: this.lifetimeMs }
    return { credits: 0, notOwner: true }
  }

  private lendToOwner (holding: Holding, credits: number): Loan {
    const now = this.context.clock.monotonic()
    const reserve = Math.floor(holding.demand.measurePerSecond(now) * LOW_STOCK_S)
    const spare = Math.floor(holding.bucket.measure(now)) - reserve
    const taken = spare <= 0 ? 0 : holding.bucket.consume(Math.min(credits, spare), now)
    return { credits: taken, validMs: this.lifetimeMs }
  }

  private async lendToNode (account: string, holding: Holding, credits: number): Promise<Loan> {
    const { clock } = this.context
    holding.demand.record(credits, clock.monotonic())
    let loan = this.release(holding, credits)
    if (loan.credits === 0) {
      const borrowing = this.borrow(account, holding, 1)
      if (borrowing !== undefined) {
        const ended = new AbortController()
        await Promise.race([borrowing, clock.sleep(BORROW_WAIT_MS, ended.signal)])
        ended.abort()
        loan = this.release(holding, credits)
      }
    }
    const now = clock.monotonic()
    const low = holding.demand.measurePerSecond(now) * LOW_STOCK_S
    if (low >= 1 && this.measureAvailable(holding, now) < low) void this.borrow(account, holding, 0)
    return loan.credits > 0 ? loan : { credits: 0, retryAfterMs: this.computeRetryAfter(holding) }
  }

  private release (holding: Holding, credits: number): Loan {
    const now = this.context.clock.monotonic()
    const borrowed = holding.borrowed.consume(credits, now)
    if (borrowed.credits > 0) return { credits: borrowed.credits, validMs: Math.floor(borrowed.expiresAt - now) }
    return { credits: holding.bucket.consume(credits, now), validMs: this.lifetimeMs }
  }

  private measureAvailable (holding: Holding, now: number): number {
    return holding.borrowed.count(now) + Math.floor(holding.bucket.measure(now))
  }

  /** Returns undefined if the other owners were asked too recently. */
  private borrow (account: string, holding: Holding, least: number): Promise<unknown> | undefined {
    const now = this.context.clock.monotonic()
    if (holding.borrowing !== undefined) return holding.borrowing
    if (now < holding.nextBorrowAt) return undefined
    const wanted = Math.max(least, Math.ceil(holding.demand.measurePerSecond(now) * BORROWED_STOCK_S - this.measureAvailable(holding, now)))
    if (wanted < 1) return undefined
    const { directory, host, batcher, clock } = this.context
    holding.borrowing = borrowCredits({ account, stock: holding.borrowed, directory, host, batcher, clock }, wanted).then(received => {
      holding.borrowIntervalMs = received > 0 ? MIN_BORROW_INTERVAL_MS : Math.min(MAX_BORROW_INTERVAL_MS, holding.borrowIntervalMs * 2)
      holding.nextBorrowAt = now + holding.borrowIntervalMs
      holding.borrowing = undefined
    })
    return holding.borrowing
  }

  /** All zones together have another credit after this time. */
  private computeRetryAfter ({ limit }: Holding): number {
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, MS_PER_S / limit.ratePerSecond)))
  }
}

function makeHolding (limit: Limit, bucket: TokenBucket): Holding {
  const borrowIntervalMs = MIN_BORROW_INTERVAL_MS
  return { limit, bucket, borrowed: new CreditStock(), demand: new DemandMeter(), borrowing: undefined, nextBorrowAt: 0, borrowIntervalMs }
}
