/**
 * Whether a request may wait for a slot. Answers overload in which more work comes than a target can
 * do in time: a request that would get its slot too late is refused while its caller can still go elsewhere.
 */

export interface Arrival {
  /** Requests that are expected to be served first. */
  ahead: number
  slots: number
  /** Moving mean of how long a request holds its slot, 0 while unknown. */
  serviceMs: number
  /** How long the request may wait. */
  waitMs: number
}

export interface TimeBudget {
  leftMs: number
  /** Until then an answer is of full use. */
  objectiveMs: number
  serviceMs: number
}

export abstract class AdmissionPolicy {
  /** Why the request must not wait, or nothing. */
  abstract findRejectionReason (arrival: Arrival): string | undefined
  /** How long a request may wait. */
  abstract computeMaxWait (time: TimeBudget): number
}

/** Everything may wait until its deadline. */
export class DeadlineAdmissionPolicy extends AdmissionPolicy {
  override findRejectionReason (): undefined {
    return undefined
  }

  override computeMaxWait ({ leftMs }: TimeBudget): number {
    return leftMs
  }
}

/** A request that would get its slot with less than this share of the usual time left is refused. */
const MIN_SERVICE_SHARE = 0.5
/** Of the objective that may be spent waiting; the rest is for the work, which varies. */
const MAX_OBJECTIVE_WAIT_SHARE = 0.35
/** A refusal has to reach the first node, perhaps in another region, before that gives up on the answer. */
const MIN_RESPONSE_MARGIN_MS = 60

export class ExpectedWaitAdmissionPolicy extends AdmissionPolicy {
  override findRejectionReason ({ ahead, slots, serviceMs, waitMs }: Arrival): string | undefined {
    const expectedMs = computeWait(ahead, slots, serviceMs)
    if (expectedMs <= waitMs) return undefined
    return `a slot is expected in ${Math.round(expectedMs)} ms, too late for a request that may wait ${Math.round(waitMs)} ms`
  }

  /** Waiting past the objective would make every request behind it late as well, so the longer one waits the fewer are on time. */
  override computeMaxWait ({ leftMs, objectiveMs, serviceMs }: TimeBudget): number {
    return Math.min(leftMs - Math.max(MIN_RESPONSE_MARGIN_MS, serviceMs * MIN_SERVICE_SHARE), objectiveMs * MAX_OBJECTIVE_WAIT_SHARE)
  }
}

/** Time until so many waiting requests and the one behind them have a slot. */
export function computeWait (ahead: number, slots: number, serviceMs: number): number {
  return (ahead + 1) * serviceMs / slots
}
