/**
 * Takes credits for the requests of this node: from its own stock, or by a loan from the bucket owner of the nearest zone that responds.
 */
import type { Account } from '../../account/index.js'
import { Err, getOrMake, makeFailure, Ok } from '../../core/index.js'
import type { Clock, Failure, Random, Result } from '../../core/index.js'
import { DemandMeter } from '../demand.js'
import type { OwnerDirectory, OwnerHost } from '../directory.js'
import { QuotaPolicy } from '../policy.js'
import type { Credit } from '../policy.js'
import type { Loan } from '../schema.js'
import { CreditStock } from '../stock.js'
import type { LoanBatcher } from '../tasks/batch.js'
import type { BucketOwner } from './lend.js'

/** `granted`, `refused` and `unavailable` count requests, `returned` and `expired` credits. */
export type QuotaResult = 'granted' | 'refused' | 'unavailable' | 'returned' | 'expired'

export interface AcquireContext {
  host: string
  directory: OwnerDirectory
  owner: BucketOwner
  batcher: LoanBatcher
  clock: Clock
  random: Random
  onResult: (result: QuotaResult, account: string, count: number) => void
}

/** A node asks for the credits that it is likely to use in this time besides, which is shorter than the life of a credit. */
const STOCK_S = 0.1
const MIN_SKIP_MS = 1_000
/** An owner that stays silent is asked less often. */
const MAX_SKIP_MS = 8_000
/** Bounds the wait of a request while owners do not respond, and the messages that an overload of owners adds to it. */
const MAX_ASKED_OWNERS = 2
/**
 * After a refusal the owner is not asked again for this time, so that an account at several times its limit does not cost its owner a
 * message for each request.
 */
const MIN_REFUSAL_MS = 250
const UNAVAILABLE_RETRY_AFTER_MS = 500
/** Other requests of the account may take the first credit that becomes available. */
const MIN_RETRY_AFTER_MS = 50

type Outcome = Result<Credit, Failure>

interface Lease {
  stock: CreditStock
  demand: DemandMeter
  waiting: Array<(outcome: Outcome) => void>
  isAsking: boolean
  /** Until this time requests are refused without asking the owner. */
  refusedUntil: number
}

interface Skip { until: number, ms: number }

export class DistributedQuotaPolicy extends QuotaPolicy {
  private readonly leases = new Map<string, Lease>()
  /** Owners that did not respond, by host. */
  private readonly skips = new Map<string, Skip>()

  constructor (private readonly context: AcquireContext) {
    super()
  }

  get skippedCount (): number {
    const now = this.context.clock.monotonic()
    return [...this.skips.values()].filter(({ until }) => until > now).length
  }

  override async acquire (account: Account): Promise<Outcome> {
    if (account.ratePerSecond === 0) return Ok({ returnUnused: () => {} })
    const now = this.context.clock.monotonic()
    const lease = getOrMake(this.leases, account.name, makeLease)
    lease.demand.record(1, now)
    const held = lease.waiting.length === 0 ? this.consumeHeld(account.name, lease) : undefined
    if (held !== undefined) return Ok(held)
    if (lease.refusedUntil > now) return this.reject(account.name, lease)
    return await new Promise(resolve => {
      lease.waiting.push(resolve)
      if (!lease.isAsking) void this.serveQueue(account.name, lease)
    })
  }

  /** Forgets accounts that are no longer known. */
  prune (isKnown: (account: string) => boolean): void {
    for (const [account, { waiting }] of this.leases) if (!isKnown(account) && waiting.length === 0) this.leases.delete(account)
  }

  private async serveQueue (account: string, lease: Lease): Promise<void> {
    const { clock } = this.context
    lease.isAsking = true
    while (lease.waiting.length > 0) {
      const wanted = lease.waiting.length + Math.floor(lease.demand.measurePerSecond(clock.monotonic()) * STOCK_S)
      const loan = await this.queryOwners(account, lease, wanted)
      if (loan === undefined) this.endWaiting(lease, () => this.reportUnavailable(account))
      else if (loan.credits === 0) {
        lease.refusedUntil = clock.monotonic() + Math.max(MIN_REFUSAL_MS, loan.retryAfterMs ?? 0)
        this.endWaiting(lease, () => this.reject(account, lease))
      } else if (!this.serveWaiting(account, lease)) this.endWaiting(lease, () => this.reportUnavailable(account))
    }
    lease.isAsking = false
  }

  /** Returns false if all credits expired on their way. */
  private serveWaiting (account: string, lease: Lease): boolean {
    const count = lease.waiting.length
    while (lease.waiting.length > 0) {
      const credit = this.consumeHeld(account, lease)
      if (credit === undefined) break
      lease.waiting.shift()?.(Ok(credit))
    }
    return lease.waiting.length < count
  }

  private endWaiting (lease: Lease, makeOutcome: () => Outcome): void {
    for (const resolve of lease.waiting.splice(0)) resolve(makeOutcome())
  }

  private consumeHeld (account: string, lease: Lease): Credit | undefined {
    const { clock, onResult } = this.context
    const { credits, expiresAt } = lease.stock.consume(1, clock.monotonic())
    const expired = lease.stock.collectExpired()
    if (expired > 0) onResult('expired', account, expired)
    if (credits === 0) return undefined
    onResult('granted', account, 1)
    const returnUnused = (): void => {
      lease.stock.add(1, expiresAt)
      onResult('returned', account, 1)
    }
    return { returnUnused }
  }

  /** Returns undefined if no owner responds. */
  private async queryOwners (account: string, lease: Lease, credits: number): Promise<Loan | undefined> {
    const { directory, clock, host } = this.context
    let asked = 0
    for (const owner of directory.listOwners(account)) {
      if (asked >= MAX_ASKED_OWNERS) return undefined
      if ((this.skips.get(owner.host)?.until ?? 0) > clock.monotonic()) continue
      const sentAt = clock.monotonic()
      const loan = owner.host === host ? await this.context.owner.lend({ account, credits }, false) : await this.queryPeer(owner, account, credits)
      asked += 1
      if (loan === undefined || loan.notOwner === true) continue
      lease.stock.add(loan.credits, sentAt + (loan.validMs ?? 0))
      return loan
    }
    return undefined
  }

  private async queryPeer (owner: OwnerHost, account: string, credits: number): Promise<Loan | undefined> {
    const { batcher, clock } = this.context
    const loan = await batcher.fetch(owner.peer, { account, credits })
    if (loan === undefined) {
      const ms = Math.min(MAX_SKIP_MS, 2 * (this.skips.get(owner.host)?.ms ?? MIN_SKIP_MS / 2))
      this.skips.set(owner.host, { until: clock.monotonic() + ms, ms })
    } else this.skips.delete(owner.host)
    return loan
  }

  private reject (account: string, lease: Lease): Outcome {
    const { clock, random, onResult } = this.context
    onResult('refused', account, 1)
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, lease.refusedUntil - clock.monotonic())
    // Clients that were refused together would otherwise come back together.
    const retryAfterMs = Math.ceil(waitMs * (1 + random.next()))
    return Err(makeFailure('not-run', 429, 'quota_exceeded', 'the account has used up its quota', retryAfterMs))
  }

  private reportUnavailable (account: string): Outcome {
    const { random, onResult } = this.context
    onResult('unavailable', account, 1)
    const retryAfterMs = Math.ceil(UNAVAILABLE_RETRY_AFTER_MS * (1 + random.next()))
    return Err(makeFailure('not-run', 503, 'quota_unavailable', 'no owner of the quota of the account responds', retryAfterMs))
  }
}

function makeLease (): Lease {
  return { stock: new CreditStock(), demand: new DemandMeter(), waiting: [], isAsking: false, refusedUntil: 0 }
}
