/**
 * Derives what the end of an attempt says about its target, from which the picker learns. The load pattern is a target, or a node in
 * front of one, that has become slow while short calls with close deadlines reach it: none of them is answered, so the measured times
 * do not show it.
 */
import type { Failure } from '../../core/index.js'
import { VERSION_CLOSED } from '../../rollout/index.js'
import type { Route } from '../../document/index.js'
import type { DeliveryOutcome } from '../response.js'
import type { AttemptOutcome } from '../picker.js'

export interface EndedAttempt {
  failure: Failure
  isCallerDisconnected: boolean
  /** The deadline that the caller set, in milliseconds. */
  callDeadlineMs: number | undefined
  route: Pick<Route, 'deadlineMs' | 'objectiveMs'>
  /** The duration of this attempt. */
  elapsedMs: number
}

/** Rejections which mean that the target is busy or leaving, not that it is failing. */
const BUSY_OR_LEAVING_CODES = new Set([
  'queue_full', 'shed', 'no_time', 'deadline_in_queue', 'target_refused', 'leaving', 'no_target', 'suspect_waits', 'quarantined',
  'retry_budget', VERSION_CLOSED, 'nested_no_room'
])
const FIRST_SERVER_ERROR_STATUS = 500

export function deriveFailureOutcome ({ failure, isCallerDisconnected, callDeadlineMs, route, elapsedMs }: EndedAttempt): AttemptOutcome {
  if (failure.verdict === 'not-run' && BUSY_OR_LEAVING_CODES.has(failure.code)) return isCallerDisconnected ? 'cancelled' : 'refused'
  const isEndedByCaller = isCallerDisconnected || (failure.status === 504 && (callDeadlineMs ?? Infinity) < route.deadlineMs)
  // A caller that did not wait says nothing about the target, unless a useful response would have arrived by then.
  if (isEndedByCaller) return elapsedMs > (route.objectiveMs ?? Infinity) ? 'failed' : 'cancelled'
  return failure.status < FIRST_SERVER_ERROR_STATUS ? 'cancelled' : 'failed'
}

export function deriveResponseOutcome (statusCode: number, delivery: DeliveryOutcome): AttemptOutcome {
  if (delivery === 'left') return 'cancelled'
  return delivery === 'cut' || statusCode >= FIRST_SERVER_ERROR_STATUS ? 'failed' : 'answered'
}
