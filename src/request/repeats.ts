/**
 * Counts arrivals at targets beyond the first of each request, by origin: attempts after one that reached a target, and calls that a
 * target makes while it serves such an attempt. A call does not name the run that made it, but it expires no later than that run, so it
 * counts by the probability that one of the repeats among the runs on this host that last as long has made it.
 */
import type { Clock } from '../core/index.js'
import { getOrMake } from '../core/index.js'
import { CallRates } from './callrates.js'
import type { ExpectedCalls } from './callrates.js'
import type { RetryDecision } from './retry.js'
import type { RunOrigin } from './schema.js'

/** Counts of one service since they were last taken. */
export interface RepeatCounts {
  /** Calls that this node took from the callers and targets of its host. */
  calls: number
  /** How many of these calls were made by repeated runs, by expectation. */
  callsOfRepeats: number
  /** Decisions of this node to attempt a request again that has reached a target. */
  repeats: number
  /** The same, denied by the retry budget. */
  denied: number
  /** Requests that reached the targets of this host. */
  arrivals: number
  /** How many of them had reached a target before. */
  repeatedArrivals: number
}

/** Which runs on this host may have made a call. */
export interface CallOrigin {
  isOfRun: boolean
  /** The probability that a repeated run made the call. */
  repeatShare: number
}

interface Run { kind: string, repeatShare: number, startedAt: number, endsAt: number }

/** A target counts its time from the arrival of the request, which is later than its sending. */
const MAX_ARRIVAL_DELAY_MS = 30

/** A call may arrive this long after its run has ended for this node, at the deadline or with the connection of the caller. */
const ENDED_RUN_MS = 1_000
/** A target outlives its node. The runs that it had then have ended after this time, which is longer than the deadlines of most routes. */
const EARLIER_RUNS_MS = 30_000

export class RepeatMeter {
  private readonly counts = new Map<string, RepeatCounts>()
  private readonly runs = new Set<Run>()
  private readonly rates: CallRates
  private readonly startedAt: number
  private lastEndedAt = -Infinity

  constructor (private readonly clock: Clock) {
    this.rates = new CallRates(clock)
    this.startedAt = clock.monotonic()
  }

  /** `leftMs` is the time until the call expires; without a deadline any run in flight may have made it. */
  recordCall (service: string, leftMs = 0): CallOrigin {
    const origin = this.deriveOrigin(service, leftMs)
    const counts = this.getCounts(service)
    counts.calls += 1
    counts.callsOfRepeats += origin.repeatShare
    return origin
  }

  /** Returns true if a call may be one of a run, including runs that have ended lately and those that began before this node did. */
  matchesRun (leftMs = 0): boolean {
    const now = this.clock.monotonic()
    return this.listRuns(leftMs).length > 0 || now - this.lastEndedAt <= ENDED_RUN_MS || now - this.startedAt <= EARLIER_RUNS_MS
  }

  /** Returns how long the run that made a call has lasted, by expectation; 0 if none of the runs on this host did. */
  computeSpent (service: string, leftMs = 0): number {
    const now = this.clock.monotonic()
    const runs = this.listRuns(leftMs).map(({ kind, startedAt }) => ({ lastedMs: now - startedAt, calls: this.rates.computeCalls(kind, service) }))
    const calls = runs.reduce((sum, run) => sum + run.calls, 0)
    if (calls === 0) return runs.reduce((sum, { lastedMs }) => sum + lastedMs / runs.length, 0)
    return runs.reduce((sum, run) => sum + run.lastedMs * run.calls / calls, 0)
  }

  /** Records the decision that followed an attempt which reached a target. */
  recordDecision (service: string, decision: RetryDecision): void {
    if (typeof decision === 'number') this.getCounts(service).repeats += 1
    if (decision === 'spent') this.getCounts(service).denied += 1
  }

  /** Returns the calls that a run of a kind is expected to make. */
  listExpectedCalls (kind: string): ExpectedCalls[] {
    return this.rates.listExpectedCalls(kind)
  }

  /**
   * Called before a request is sent to a target. Runs of one `kind` make similar calls. `leftMs` is the time that the target has for the
   * request. Returns a function that ends the run.
   */
  beginRun (kind: string, { repeatShare }: RunOrigin, leftMs: number): () => void {
    const startedAt = this.clock.monotonic()
    const run: Run = { kind, repeatShare, startedAt, endsAt: startedAt + leftMs }
    this.runs.add(run)
    this.rates.recordRun(kind)
    return () => {
      if (this.runs.delete(run)) this.lastEndedAt = this.clock.monotonic()
    }
  }

  /** Called once a request has reached a target of this host. */
  recordArrival (service: string, { isRepeat }: RunOrigin): void {
    const counts = this.getCounts(service)
    counts.arrivals += 1
    if (isRepeat) counts.repeatedArrivals += 1
  }

  /** Returns the counts of all services since the last call, and begins new ones. */
  collectCounts (): Map<string, RepeatCounts> {
    const collected = new Map(this.counts)
    this.counts.clear()
    return collected
  }

  private deriveOrigin (service: string, leftMs: number): CallOrigin {
    const runs = this.listRuns(leftMs)
    if (runs.length === 0) return { isOfRun: false, repeatShare: 0 }
    const shares = this.rates.recordCall(service, runs.map(({ kind }) => kind))
    return { isOfRun: true, repeatShare: runs.reduce((sum, { repeatShare }, index) => sum + repeatShare * (shares[index] ?? 0), 0) }
  }

  /** Returns the runs in flight that last as long as a call. */
  private listRuns (leftMs: number): Run[] {
    const expiresAt = this.clock.monotonic() + leftMs - MAX_ARRIVAL_DELAY_MS
    return [...this.runs].filter(({ endsAt }) => endsAt >= expiresAt)
  }

  private getCounts (service: string): RepeatCounts {
    return getOrMake(this.counts, service, () => ({ calls: 0, callsOfRepeats: 0, repeats: 0, denied: 0, arrivals: 0, repeatedArrivals: 0 }))
  }
}
