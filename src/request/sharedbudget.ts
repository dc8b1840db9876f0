/**
 * A retry budget that all nodes share without coordination. Each node derives its part from the calls that it takes, and the parts add
 * up to less than the whole budget. An attempt that reached no target does not count, since the targets then get the call only once.
 *
 * The load pattern is an overloaded service whose targets call another one. A run that repeats an earlier attempt makes its calls again,
 * and these use the budget of the service that they reach. So a node charges each repeated run on its host with the calls that it is
 * expected to make, and does not admit a repeat for whose calls there is no budget left.
 */
import type { Clock } from '../core/index.js'
import { getOrMake } from '../core/index.js'
import type { ExpectedCalls } from './callrates.js'
import { RetryPolicy } from './retry.js'
import type { EndRun, RetryDecision, RetryContext } from './retry.js'
import type { RunOrigin } from './schema.js'
import { SlidingSum } from './slidingsum.js'

/** Repeats within the window: `ratio` of the calls of a service, plus `extra` for all nodes together. */
export interface SharedRetryBudget { ratio: number, extra: number, windowMs: number }

/** The rest is for repeats that arrive later than they were counted, and for runs that make more calls than expected. */
const USED_BUDGET_SHARE = 0.8
/** Share of the budget for calls of repeated runs, which second attempts may not use, if runs on this host make all calls to the service. */
const CALLS_BUDGET_SHARE = 0.3
/**
 * In the first window of a node, too few runs are known to tell those that make many calls from the others, so a repeat is charged with
 * more than it is expected to make.
 */
const FIRST_WINDOW_CHARGE_FACTOR = 2
/** A call that this many targets rejected is rejected itself. */
const MAX_ATTEMPTS = 4
/** With less time than this before the deadline, no target can give a useful response. */
const MIN_REMAINING_MS = 20

/** What this node has counted for one service within the window. */
interface Account {
  readonly calls: SlidingSum
  /** Calls that a run on this host may have made. */
  readonly callsOfRuns: SlidingSum
  readonly attempts: SlidingSum
  /** Attempts that were allowed and have not reached a target yet. */
  pendingAttempts: number
  /** Calls with which repeated runs in flight were charged when they began. */
  pendingCallsOfRepeats: number
  /** The same for the runs that have ended. */
  readonly callsOfRepeats: SlidingSum
}

/** The calls to a service with which a repeated run is charged. */
interface Charge { account: Account, calls: number }

export class SharedBudgetRetryPolicy extends RetryPolicy {
  private readonly accounts = new Map<string, Account>()
  /** The charges of runs in flight. */
  private readonly openCharges = new Set<Charge[]>()
  private readonly startedAt: number
  private mostNodes = 1

  /** `countNodes` returns the number of nodes that this node knows, itself included. */
  constructor (private readonly budget: SharedRetryBudget, private readonly countNodes: () => number, private readonly clock: Clock) {
    super()
    this.startedAt = clock.monotonic()
  }

  override countCall (service: string, isOfRun: boolean): void {
    this.mostNodes = Math.max(this.mostNodes, this.countNodes())
    const { calls, callsOfRuns } = this.getAccount(service)
    const now = this.clock.monotonic()
    calls.add(now)
    if (isOfRun) callsOfRuns.add(now)
  }

  override decide (context: RetryContext): RetryDecision {
    const { failure, canResend, leftMs, attempt } = context
    if (!canResend || leftMs < MIN_REMAINING_MS) return 'final'
    if (failure.reached === true) return this.decideReached(context)
    return failure.verdict === 'not-run' && failure.status >= 500 && attempt < MAX_ATTEMPTS ? 0 : 'final'
  }

  /** Counts the attempt for a whole window after its end, since it reached the target some time after it was allowed. */
  override finishRetry (service: string, hasReachedTarget: boolean): void {
    const account = this.getAccount(service)
    account.pendingAttempts -= 1
    if (hasReachedTarget) account.attempts.add(this.clock.monotonic())
  }

  override admitRun ({ isRepeat, repeatShare }: RunOrigin, expectedCalls: readonly ExpectedCalls[]): EndRun | undefined {
    const charges = expectedCalls
      .map(({ service, calls }): Charge => ({ account: this.getAccount(service), calls: calls * repeatShare * this.chargeFactor }))
      .filter(({ calls }) => calls > 0)
    const hasBudget = charges.every(({ account, calls }) => this.hasBudget(account, calls))
    if (isRepeat && !hasBudget) return undefined
    for (const { account, calls } of charges) account.pendingCallsOfRepeats += calls
    this.openCharges.add(charges)
    return () => { this.endRun(charges) }
  }

  /** The charge stays for a whole window after the end of the run, since the run may have made its calls until then. */
  private endRun (charges: Charge[]): void {
    if (!this.openCharges.delete(charges)) return
    const now = this.clock.monotonic()
    for (const { account, calls } of charges) {
      account.pendingCallsOfRepeats -= calls
      account.callsOfRepeats.add(now, calls)
    }
  }

  private decideReached ({ service, kind, failure, reached, attempts }: RetryContext): RetryDecision {
    if (reached >= attempts || (failure.verdict !== 'not-run' && kind !== 'idempotent')) return 'final'
    return this.consume(service) ? 0 : 'spent'
  }

  private consume (service: string): boolean {
    const account = this.getAccount(service)
    const now = this.clock.monotonic()
    const callsOfRunsShare = account.callsOfRuns.read(now) / Math.max(1, account.calls.read(now))
    const maxAttempts = this.computeBudget(account) * (USED_BUDGET_SHARE - CALLS_BUDGET_SHARE * callsOfRunsShare)
    if (!this.hasBudget(account, 1) || this.countAttempts(account) + 1 > maxAttempts) return false
    account.pendingAttempts += 1
    return true
  }

  private hasBudget (account: Account, repeats: number): boolean {
    const now = this.clock.monotonic()
    const used = this.countAttempts(account) + account.pendingCallsOfRepeats + account.callsOfRepeats.read(now)
    return used + repeats <= this.computeBudget(account) * USED_BUDGET_SHARE
  }

  private countAttempts ({ attempts, pendingAttempts }: Account): number {
    return attempts.read(this.clock.monotonic()) + pendingAttempts
  }

  /** Returns the part of this node, in repeats within the window. */
  private computeBudget ({ calls }: Account): number {
    return calls.read(this.clock.monotonic()) * this.budget.ratio + this.computeExtra()
  }

  /**
   * A node that has just started may have spent its part before, and knows few others yet. One that is cut off from the others comes to
   * know fewer of them, and so do the others, so the largest number that this node has known counts.
   */
  private computeExtra (): number {
    return this.isInFirstWindow ? 0 : this.budget.extra / this.mostNodes
  }

  private get chargeFactor (): number {
    return this.isInFirstWindow ? FIRST_WINDOW_CHARGE_FACTOR : 1
  }

  private get isInFirstWindow (): boolean {
    return this.clock.monotonic() - this.startedAt < this.budget.windowMs
  }

  private getAccount (service: string): Account {
    const { windowMs } = this.budget
    const makeSum = (): SlidingSum => new SlidingSum(windowMs)
    return getOrMake(this.accounts, service, () => ({
      calls: makeSum(), callsOfRuns: makeSum(), attempts: makeSum(), pendingAttempts: 0, pendingCallsOfRepeats: 0, callsOfRepeats: makeSum()
    }))
  }
}
