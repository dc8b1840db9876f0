/**
 * Estimates how many calls to each service a run on this host makes, by the kind of the run. A call does not name the run that made it,
 * so it counts in part for each run that may have made it, in proportion to the calls that runs of its kind make.
 */
import type { Clock } from '../core/index.js'
import { getOrMake } from '../core/index.js'
import { SlidingSum } from './slidingsum.js'

/** The number of calls to a service that a run is expected to make. */
export interface ExpectedCalls { service: string, calls: number }

interface Counts { readonly runs: SlidingSum, readonly calls: Map<string, SlidingSum> }

const WINDOW_MS = 10_000
/** An estimate from few runs of a kind would be far off, so this many runs with the average calls of all kinds are added. */
const PRIOR_RUNS = 4

export class CallRates {
  private readonly all: Counts = makeCounts()
  private readonly byKind = new Map<string, Counts>()

  constructor (private readonly clock: Clock) {}

  recordRun (kind: string): void {
    const now = this.clock.monotonic()
    this.all.runs.add(now)
    this.getCounts(kind).runs.add(now)
  }

  /**
   * Records a call that one of some runs made, each given by its kind. Returns for each of them the probability that it was the one. They
   * add up to 1.
   */
  recordCall (service: string, kinds: readonly string[]): number[] {
    const now = this.clock.monotonic()
    const expected = kinds.map(kind => this.computeCalls(kind, service))
    const total = expected.reduce((sum, calls) => sum + calls, 0)
    const shares = expected.map(calls => total > 0 ? calls / total : 1 / kinds.length)
    for (const [index, kind] of kinds.entries()) addCalls(this.getCounts(kind), service, now, shares[index] ?? 0)
    addCalls(this.all, service, now, 1)
    return shares
  }

  listExpectedCalls (kind: string): ExpectedCalls[] {
    return [...this.all.calls.keys()].map(service => ({ service, calls: this.computeCalls(kind, service) }))
  }

  /** Returns the number of calls to a service that a run of a kind is expected to make. */
  computeCalls (kind: string, service: string): number {
    const now = this.clock.monotonic()
    const counts = this.getCounts(kind)
    const averageCalls = readCalls(this.all, service, now) / Math.max(1, this.all.runs.read(now))
    return (readCalls(counts, service, now) + PRIOR_RUNS * averageCalls) / (counts.runs.read(now) + PRIOR_RUNS)
  }

  private getCounts (kind: string): Counts {
    return getOrMake(this.byKind, kind, makeCounts)
  }
}

function makeCounts (): Counts {
  return { runs: new SlidingSum(WINDOW_MS), calls: new Map() }
}

function addCalls ({ calls }: Counts, service: string, at: number, amount: number): void {
  getOrMake(calls, service, () => new SlidingSum(WINDOW_MS)).add(at, amount)
}

function readCalls ({ calls }: Counts, service: string, at: number): number {
  return calls.get(service)?.read(at) ?? 0
}
