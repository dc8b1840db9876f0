/**
 * Counts arrivals at targets beyond the first of each request, by origin: attempts after one that reached a target, and calls that a
 * target makes while it serves such an attempt. A call does not name the run that made it, so it counts by the share of repeats among
 * the runs in flight on this host.
 */
import { getOrMake } from '../core/index.js'
import type { RetryDecision } from './retry.js'

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
  /** Requests that were sent to the targets of this host. */
  arrivals: number
  /** How many of them had reached a target before. */
  repeatedArrivals: number
}

/** A request that is being sent to a target of this host, and its run there. */
export interface TrackedRun {
  end: () => void
  /** Ends a run whose request was not sent. */
  cancel: () => void
}

export class RepeatMeter {
  private readonly counts = new Map<string, RepeatCounts>()
  private running = 0
  private runningRepeats = 0

  /** The share of repeats among the runs in flight on this host. */
  get repeatedShare (): number {
    return this.running === 0 ? 0 : this.runningRepeats / this.running
  }

  recordCall (service: string): void {
    const counts = this.getCounts(service)
    counts.calls += 1
    counts.callsOfRepeats += this.repeatedShare
  }

  /** Records the decision that followed an attempt which reached a target. */
  recordDecision (service: string, decision: RetryDecision): void {
    if (typeof decision === 'number') this.getCounts(service).repeats += 1
    if (decision === 'spent') this.getCounts(service).denied += 1
  }

  beginRun (service: string, isRepeat: boolean): TrackedRun {
    const repeats = isRepeat ? 1 : 0
    this.addRun(1, repeats)
    this.countArrival(service, 1, repeats)
    let isEnded = false
    const end = (): boolean => {
      if (isEnded) return false
      isEnded = true
      this.addRun(-1, -repeats)
      return true
    }
    return {
      end,
      cancel: () => { if (end()) this.countArrival(service, -1, -repeats) }
    }
  }

  /** Returns the counts of all services since the last call, and begins new ones. */
  collectCounts (): Map<string, RepeatCounts> {
    const collected = new Map(this.counts)
    this.counts.clear()
    return collected
  }

  private addRun (runs: number, repeats: number): void {
    this.running += runs
    this.runningRepeats += repeats
  }

  private countArrival (service: string, arrivals: number, repeats: number): void {
    const counts = this.getCounts(service)
    counts.arrivals += arrivals
    counts.repeatedArrivals += repeats
  }

  private getCounts (service: string): RepeatCounts {
    return getOrMake(this.counts, service, () => ({ calls: 0, callsOfRepeats: 0, repeats: 0, denied: 0, arrivals: 0, repeatedArrivals: 0 }))
  }
}
