/**
 * The quotas of one node: its policy for requests, and the buckets that it owns.
 */
import type { Account } from '../account/index.js'
import type { Clock, Random } from '../core/index.js'
import type { HostRecord } from '../membership/index.js'
import { DistributedQuotaPolicy } from './commands/acquire.js'
import type { QuotaResult } from './commands/acquire.js'
import { BucketOwner } from './commands/lend.js'
import { ContactTracker } from './contacts.js'
import { OwnerDirectory } from './directory.js'
import type { Location } from './directory.js'
import type { LimitInForce, QuotaBounds } from './limits.js'
import type { QuotaPolicy } from './policy.js'
import type { LendRequest, LendResponse } from './schema.js'
import { LoanBatcher } from './tasks/batch.js'
import type { SendLend } from './tasks/batch.js'

export interface QuotaSettings extends QuotaBounds {
  /** The region of each zone of the deployment. */
  zones: ReadonlyMap<string, string>
}

export interface QuotaContext {
  location: Location
  settings: QuotaSettings
  clock: Clock
  random: Random
  send: SendLend
  /** The accounts of the version in force; the same array for the same version, undefined without a version. */
  getAccounts: () => readonly Account[] | undefined
  onResult: (result: QuotaResult, account: string, count: number) => void
}

/** Longer than the wait of an owner for credits of other zones, and than a host with little processor time is suspended. */
const NODE_TIMEOUT_MS = 200
/** Two round trips between regions. */
const OWNER_TIMEOUT_MS = 100
/** An owner finds changes of accounts and hosts at least this often. */
export const REFRESH_INTERVAL_MS = 250

export class QuotaService {
  readonly policy: QuotaPolicy
  private readonly owner: BucketOwner
  private readonly distributed: DistributedQuotaPolicy
  private readonly directory: OwnerDirectory
  private readonly contacts: ContactTracker
  private limits: ReadonlyMap<string, LimitInForce> | undefined
  private accounts: readonly Account[] | undefined

  constructor (private readonly context: QuotaContext) {
    const { location, settings, clock, random, send, onResult } = context
    const { host } = location
    this.directory = new OwnerDirectory(location, settings.zones)
    const { directory } = this
    this.contacts = new ContactTracker(clock, host)
    this.owner = new BucketOwner({
      host,
      bounds: settings,
      directory,
      batcher: new LoanBatcher(send, clock, true, OWNER_TIMEOUT_MS),
      clock,
      getLimits: () => this.getLimits(),
      isIsolated: () => this.contacts.isIsolated(directory.listZoneHosts())
    })
    const batcher = new LoanBatcher(send, clock, false, NODE_TIMEOUT_MS)
    this.distributed = new DistributedQuotaPolicy({ host, directory, owner: this.owner, batcher, clock, random, onResult })
    this.policy = this.distributed
  }

  /** Handles a message of another node. */
  async lend ({ isOwner, loans }: LendRequest): Promise<LendResponse> {
    return { loans: await Promise.all(loans.map(async loan => await this.owner.lend(loan, isOwner))) }
  }

  /** Takes over host records that are new or have changed. */
  updateHosts (records: readonly HostRecord[]): void {
    for (const record of records) this.directory.update(record)
  }

  /** Called when the earlier records of this host are known. `wasServing`: by these, its earlier process ended without notice. */
  beginOwning (wasServing: boolean): void {
    if (wasServing) this.owner.beginWithoutWait()
  }

  /** Called when the store, or the named peer, has sent or answered a message. */
  recordContact (peer?: string): void {
    this.contacts.record(peer)
  }

  /** Keeps the buckets up to date until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.owner.update()
      await this.context.clock.sleep(REFRESH_INTERVAL_MS, signal)
    }
  }

  /** True if this node owns the bucket of its zone by the hosts that it knows. */
  isOwner (account: string): boolean {
    return this.directory.isOwner(account)
  }

  get ownedCount (): number {
    return this.owner.accountCount
  }

  get skippedCount (): number {
    return this.distributed.skippedCount
  }

  /** The same limit object for an account as long as its limit does not change. */
  private getLimits (): ReadonlyMap<string, LimitInForce> | undefined {
    const accounts = this.context.getAccounts()
    if (accounts === undefined || accounts === this.accounts) return this.limits
    const unlimited = new Set(this.accounts?.filter(({ ratePerSecond }) => ratePerSecond === 0).map(({ name }) => name))
    this.accounts = accounts
    const limited = accounts.filter(({ ratePerSecond }) => ratePerSecond > 0)
    const limits = new Map(limited.map(({ name, ratePerSecond, burst }): [string, LimitInForce] => {
      const known = this.limits?.get(name)
      const isKnown = known?.ratePerSecond === ratePerSecond && known.burst === burst
      return [name, isKnown ? known : { ratePerSecond, burst, startsFull: unlimited.has(name) }]
    }))
    this.limits = limits
    this.distributed.prune(account => limits.has(account))
    this.directory.prune(account => limits.has(account))
    return limits
  }
}
