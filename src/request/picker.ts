/**
 * The choice of a target for one attempt.
 */
import type { Target } from '../membership/index.js'
import type { TargetLoad } from './load.js'

export interface PickRequest {
  targets: readonly Target[]
  /** Targets that earlier attempts of this call went to. */
  tried: ReadonlySet<string>
  /** The attempt before was refused for lack of room, so only a target that is known to have some is worth another. */
  needsFreeSlot: boolean
  zones: 'same-first' | 'any'
  /** Bytes of the request's body, which travel to the target. */
  bytes?: number
}

/**
 * `refused`: the node of the target's host did not let it in. `failed`: no answer, or one of status
 * 500 and above. `cancelled`: the caller left, which says nothing of the target.
 */
export type AttemptOutcome = 'answered' | 'failed' | 'refused' | 'cancelled'

export abstract class Picker {
  abstract pick (request: PickRequest): Target | undefined
  /** Told of each attempt's start and end, which are what a picker may learn from. */
  abstract beginAttempt (target: Target): void
  /** No latency when the time was the caller's and not the target's, as in an upload. */
  abstract endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome, code?: string): void

  /** Told of what the node of the target's host says of its load; a picker need not heed it. */
  recordLoad (_target: Target, _load: TargetLoad): void {}
}
