/**
 * Picks the target of one attempt (load balancing).
 */
import type { Target } from '../membership/index.js'
import type { TargetLoad } from './load.js'
import type { RequestNeed } from './workcontrol.js'
import type { DelayParts } from './stats.js'

export interface PickRequest {
  targets: readonly Target[]
  /** Ids of the targets of earlier attempts of this call. */
  tried: ReadonlySet<string>
  /** The previous attempt was rejected because the target had no free slot, so only a target that is likely to have one is worth another attempt. */
  needsFreeSlot: boolean
  zones: 'same-first' | 'any'
  /** What the request needs, for pickers that decide by it. */
  need?: RequestNeed
  /** Length of the request body, which is transferred to the target. */
  bytes?: number
  /** Returns the present load of a target on this host, including the requests that other nodes sent to it. */
  measureLocalLoad?: (target: Target) => TargetLoad
}

/**
 * `refused`: the node of the target's host rejected the request. `failed`: there was no response, or its status was 500 or above.
 * `cancelled`: the caller disconnected, which says nothing about the target.
 */
export type AttemptOutcome = 'answered' | 'failed' | 'refused' | 'cancelled'

/**
 * What a picker expects of a target. `state` `unreachable` and `backing-off` are picked only if no other target is left. `isCandidate`:
 * the next pick may yield the target.
 */
export interface TargetRating {
  target: Target
  state: 'available' | 'backing-off' | 'unreachable'
  delayMs: number
  parts: DelayParts & { distanceMs: number }
  isCandidate: boolean
}

export abstract class Picker {
  abstract pick (request: PickRequest): Target | undefined
  /** Called at the start of each attempt, as `endAttempt` is at its end. Pickers learn about targets from these two. */
  abstract beginAttempt (target: Target, need?: RequestNeed): void
  /** `latencyMs` is undefined when the caller and not the target determined the time, as in an upload. */
  abstract endAttempt (target: Target, latencyMs: number | undefined, outcome: AttemptOutcome, code?: string): void

  /** Returns what the next pick would compare, the best first, and changes nothing. A picker without expected delays returns undefined. */
  explain (_request: PickRequest): TargetRating[] | undefined {
    return undefined
  }

  /** Called with the load that the node of the target's host reports. Pickers may ignore it. */
  recordLoad (_target: Target, _load: TargetLoad): void {}
}
