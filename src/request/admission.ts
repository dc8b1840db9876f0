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

export interface TimeLeft {
  leftMs: number
  /** Until then an answer is of full use. */
  objectiveMs: number
  serviceMs: number
}

export abstract class AdmissionPolicy {
  /** Why the request must not wait, or nothing. */
  abstract findReason (arrival: Arrival): string | undefined
  /** How long a request may wait. */
  abstract computeLimit (time: TimeLeft): number
}

/** Everything may wait until its deadline. */
export class DeadlineAdmissionPolicy extends AdmissionPolicy {
  override findReason (): undefined {
    return undefined
  }

  override computeLimit ({ leftMs }: TimeLeft): number {
    return leftMs
  }
}

/** A request that would get its slot with less than this share of the usual time left is refused. */
const LEAST_SERVICE_SHARE = 0.5
/** Of the objective that may be spent waiting; the rest is for the work, which varies. */
const OBJECTIVE_SHARE = 0.35
/** A refusal has to reach the first node, perhaps in another region, before that gives up on the answer. */
const LEAST_MARGIN_MS = 60

export class ExpectedWaitAdmissionPolicy extends AdmissionPolicy {
  override findReason ({ ahead, slots, serviceMs, waitMs }: Arrival): string | undefined {
    const expectedMs = computeWait(ahead, slots, serviceMs)
    if (expectedMs <= waitMs) return undefined
    return `a slot is expected in ${Math.round(expectedMs)} ms, too late for a request that may wait ${Math.round(waitMs)} ms`
  }

  /** Waiting past the objective would make every request behind it late as well, so the longer one waits the fewer are on time. */
  override computeLimit ({ leftMs, objectiveMs, serviceMs }: TimeLeft): number {
    return Math.min(leftMs - Math.max(LEAST_MARGIN_MS, serviceMs * LEAST_SERVICE_SHARE), objectiveMs * OBJECTIVE_SHARE)
  }
}

/** Time until so many waiting requests and the one behind them have a slot. */
export function computeWait (ahead: number, slots: number, serviceMs: number): number {
  return (ahead + 1) * serviceMs / slots
}
