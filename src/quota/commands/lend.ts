/**
 * The owner of buckets: issues credits from the buckets of its zone, and borrows from the owners of other zones when one runs low.
 */
import type { Clock } from '../../core/index.js'
import { TokenBucket } from '../bucket.js'
import { DemandMeter } from '../demand.js'
import type { OwnerDirectory } from '../directory.js'
import { computeCapacity, computeCreditLifetimeMs, computeRate } from '../limits.js'
import type { LimitInForce, QuotaBounds } from '../limits.js'
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
  /** Returns the limits in force, by account, or undefined if no version is in force. Accounts without a limit are absent. */
  getLimits: () => ReadonlyMap<string, LimitInForce> | undefined
  /** True if this node has been cut off for so long that another host may own its buckets. */
  isIsolated: () => boolean
}

/** Time for which a new owner issues nothing, within which the hosts of its zone learn of the change and the earlier owner stops. */
export const TAKEOVER_MS = 2_000
/** A request waits for credits from other zones at most this long. It is two round trips between regions. */
const BORROW_WAIT_MS = 100
/** An owner that borrows ahead does so at most this often. */
const MIN_BORROW_INTERVAL_MS = 100
/** After the other zones gave less than was wanted, they are asked again after this time, which is about a round trip between regions. */
const MIN_BACKOFF_MS = 50
/** While the other zones have no credit either, they are asked less often. */
const MAX_BACKOFF_MS = 400
/** An owner borrows ahead when it has less than what is asked of it in this time. */
const LOW_STOCK_S = 0.1
/** It then borrows what is asked of it in this time, which is shorter than the life of a credit. */
const BORROWED_STOCK_S = 0.15
const MIN_RETRY_AFTER_MS = 50
const MAX_RETRY_AFTER_MS = 1_000
const MS_PER_S = 1_000

interface Holding {
  limit: LimitInForce
  zoneCount: number
  bucket: TokenBucket
  borrowed: CreditStock
  demand: DemandMeter
  borrowing: Promise<unknown> | undefined
  /** Credits that nodes are waiting for. */
  waitingCredits: number
  lastBorrowAt: number
  /** Time from the last attempt to borrow for which the other owners are not asked again, 0 if they gave all that was wanted. */
  backoffMs: number
}

export class BucketOwner {
  private readonly holdings = new Map<string, Holding>()
  private readonly lifetimeMs: number
  private limits: ReadonlyMap<string, LimitInForce> | undefined
  /** Time at which this process could first be an owner. */
  private beganAt: number | undefined
  private hasResumed = false

  constructor (private readonly context: OwnerContext) {
    this.lifetimeMs = computeCreditLifetimeMs(context.bounds)
  }

  get accountCount (): number {
    return this.holdings.size
  }

  /** Handles a request of a node, or of the owner of another zone, which never waits for a third one. */
  async lend ({ account, credits }: LoanRequest, isOwner: boolean): Promise<Loan> {
    this.updateAccount(account, this.context.getLimits()?.get(account))
    const holding = this.holdings.get(account)
    if (holding === undefined) return this.respondWithoutBucket(account, credits)
    if (this.context.isIsolated()) return { credits: 0, notOwner: true }
    return isOwner ? this.lendToOwner(holding, credits) : await this.lendToNode(account, holding, credits)
  }

  /** Called if the other hosts did not learn that the earlier process of this host ended, so that none has taken over its buckets. */
  beginWithoutWait (): void {
    this.hasResumed = true
    this.update()
  }

  /** Begins and ends the ownership of buckets by the limits and hosts that are known now. Called often, since a bucket refills from its begin. */
  update (): void {
    const limits = this.context.getLimits()
    if (limits === undefined) return
    for (const account of [...this.holdings.keys()]) if (!limits.has(account)) this.updateAccount(account, undefined)
    for (const [account, limit] of limits) this.updateAccount(account, limit)
    if (!this.context.directory.hasLocalHost) return
    this.beganAt ??= this.context.clock.monotonic()
    this.limits = limits
  }

  private updateAccount (account: string, limit: LimitInForce | undefined): void {
    const { directory: { zoneCount }, directory, bounds, clock } = this.context
    const holding = this.holdings.get(account)
    if (limit === undefined || !directory.isOwner(account)) {
      this.holdings.delete(account)
      return
    }
    if (holding?.limit === limit && holding.zoneCount === zoneCount) return
    const now = clock.monotonic()
    const rate = computeRate(bounds, limit, zoneCount)
    const capacity = computeCapacity(bounds, limit, zoneCount)
    if (holding === undefined) {
      const isNew = this.limits?.has(account) === false
      const bucket = new TokenBucket(rate, capacity, this.computeStart(isNew, now), isNew && limit.startsFull ? capacity : 0)
      this.holdings.set(account, makeHolding(limit, zoneCount, bucket))
      return
    }
    Object.assign(holding, { limit, zoneCount })
    holding.bucket.setLimit(rate, capacity, now)
  }

  /** Returns the time from which a new bucket refills. A limit that is new has no earlier owner. */
  private computeStart (isNew: boolean, now: number): number {
    const isBeginning = this.beganAt === undefined || this.limits === undefined
    if (!isBeginning && !isNew) return now + TAKEOVER_MS
    return Math.max(now, (this.beganAt ?? now) + (this.hasResumed ? 0 : TAKEOVER_MS))
  }

  /** An account whose limit was removed in the version of this node gets what the other node asks for. */
  private respondWithoutBucket (account: string, credits: number): Loan {
    const { getLimits, directory } = this.context
    if (directory.isOwner(account) && getLimits()?.has(account) === false) return { credits, validMs: this.lifetimeMs }
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
    if (loan.credits === 0) loan = await this.awaitBorrowed(account, holding, credits)
    const now = clock.monotonic()
    const low = holding.demand.measurePerSecond(now) * LOW_STOCK_S
    const mayBorrow = now - holding.lastBorrowAt >= MIN_BORROW_INTERVAL_MS
    if (mayBorrow && low >= 1 && this.measureAvailable(holding, now) < low) void this.borrow(account, holding)
    return loan.credits > 0 ? loan : { credits: 0, retryAfterMs: this.computeRetryAfter(holding) }
  }

  /** Waits for credits of other zones, as long as those have some. */
  private async awaitBorrowed (account: string, holding: Holding, credits: number): Promise<Loan> {
    const { clock } = this.context
    const endsAt = clock.monotonic() + BORROW_WAIT_MS
    let loan: Loan = { credits: 0 }
    holding.waitingCredits += credits
    for (let leftMs = BORROW_WAIT_MS; loan.credits === 0 && leftMs > 0; leftMs = endsAt - clock.monotonic()) {
      const borrowing = this.borrow(account, holding)
      if (borrowing === undefined && holding.backoffMs > MIN_BACKOFF_MS) break
      const ended = new AbortController()
      const backoffLeftMs = Math.max(1, holding.lastBorrowAt + holding.backoffMs - clock.monotonic())
      if (borrowing === undefined) await clock.sleep(Math.min(leftMs, backoffLeftMs))
      else await Promise.race([borrowing, clock.sleep(leftMs, ended.signal)])
      ended.abort()
      loan = this.release(holding, credits)
    }
    holding.waitingCredits -= credits
    return loan
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
  private borrow (account: string, holding: Holding): Promise<unknown> | undefined {
    const now = this.context.clock.monotonic()
    if (holding.borrowing !== undefined) return holding.borrowing
    if (now - holding.lastBorrowAt < holding.backoffMs) return undefined
    const likely = Math.floor(holding.demand.measurePerSecond(now) * BORROWED_STOCK_S)
    const wanted = Math.max(holding.waitingCredits, likely) - this.measureAvailable(holding, now)
    if (wanted < 1) return undefined
    const { directory, host, batcher, clock } = this.context
    holding.lastBorrowAt = now
    holding.borrowing = borrowCredits({ account, stock: holding.borrowed, directory, host, batcher, clock }, wanted).then(received => {
      if (received >= wanted) holding.backoffMs = 0
      else if (received > 0) holding.backoffMs = MIN_BACKOFF_MS
      else holding.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(2 * MIN_BACKOFF_MS, holding.backoffMs * 2))
      holding.borrowing = undefined
    })
    return holding.borrowing
  }

  /** All zones together have another credit after this time. */
  private computeRetryAfter ({ limit }: Holding): number {
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, MS_PER_S / limit.ratePerSecond)))
  }
}

function makeHolding (limit: LimitInForce, zoneCount: number, bucket: TokenBucket): Holding {
  const borrowed = new CreditStock()
  const demand = new DemandMeter()
  return { limit, zoneCount, bucket, borrowed, demand, borrowing: undefined, waitingCredits: 0, lastBorrowAt: -Infinity, backoffMs: 0 }
}
