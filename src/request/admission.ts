/**
 * Decides whether a request may wait for a slot. Under overload, when more work arrives than a target can finish in time, a request
 * that would get its slot too late is rejected while its caller can still use another target.
 */

export interface Arrival {
  /** Queued requests that are expected to be served before this one. */
  ahead: number
  slots: number
  /** Moving average of the time for which a request uses its slot, 0 while unknown. */
  serviceMs: number
  /** The longest time that the request may wait. */
  waitMs: number
}

export interface TimeBudget {
  leftMs: number
  /** Time within which the response has its full value to the caller. */
  objectiveMs: number
  serviceMs: number
}

export abstract class AdmissionPolicy {
  /** Returns why the request must not wait, or undefined when it may wait. */
  abstract findRejectionReason (arrival: Arrival): string | undefined
  /** Returns the longest time that a request may wait, in milliseconds. */
  abstract computeMaxWait (time: TimeBudget): number
}

/** Every request may wait until its deadline. */
export class DeadlineAdmissionPolicy extends AdmissionPolicy {
  override findRejectionReason (): undefined {
    return undefined
  }

  override computeMaxWait ({ leftMs }: TimeBudget): number {
    return leftMs
  }
}

/** A request is rejected if less than this share of the average service time would remain when it gets its slot. */
const MIN_SERVICE_SHARE = 0.5
/** Share of the objective that may be spent in the queue. The rest is for the service time, which varies. */
const MAX_OBJECTIVE_WAIT_SHARE = 0.35
/**
 * Share of the average service time that each request may wait, whatever its objective. The pattern is short calls that a target makes
 * while it serves a request, next to long requests: their objective is shorter than the time until a slot becomes free, and to reject
 * one wastes the run that made it.
 */
const MIN_SERVICE_WAIT_SHARE = 0.75
/** The rejection must reach the caller-side node, which may be in another region, before that node stops waiting for the response. */
const MIN_RESPONSE_MARGIN_MS = 60

export class ExpectedWaitAdmissionPolicy extends AdmissionPolicy {
  override findRejectionReason ({ ahead, slots, serviceMs, waitMs }: Arrival): string | undefined {
    const expectedMs = computeWait(ahead, slots, serviceMs)
    if (expectedMs <= waitMs) return undefined
    return `a slot is expected in ${Math.round(expectedMs)} ms, but the request may wait only ${Math.round(waitMs)} ms`
  }

  /** A request that waits past its objective delays all requests behind it, too, so longer waits leave fewer responses on time. */
  override computeMaxWait ({ leftMs, objectiveMs, serviceMs }: TimeBudget): number {
    const usefulMs = leftMs - Math.max(MIN_RESPONSE_MARGIN_MS, serviceMs * MIN_SERVICE_SHARE)
    return Math.min(usefulMs, Math.max(objectiveMs * MAX_OBJECTIVE_WAIT_SHARE, serviceMs * MIN_SERVICE_WAIT_SHARE))
  }
}

/** Returns the expected time until a request with `ahead` queued requests before it gets a slot. */
export function computeWait (ahead: number, slots: number, serviceMs: number): number {
  return (ahead + 1) * serviceMs / slots
}
