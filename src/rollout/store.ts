/**
 * The interface to the store in which the operator writes rollouts and the coordinator their status.
 */
import type { Result } from '../core/index.js'
import type { StoreFault, StorePosition } from '../store/index.js'
import type { Rollout, RolloutSet, RolloutState } from './schema.js'

/** `set` is absent if nothing has changed. */
export interface RolloutChanges { set?: RolloutSet, position: StorePosition }

export abstract class RolloutStore {
  abstract read (): Promise<Result<{ set: RolloutSet, position: StorePosition }, StoreFault>>
  /** Waits for changes after the position. */
  abstract watch (position: StorePosition, signal: AbortSignal): Promise<Result<RolloutChanges, StoreFault>>
  /** Returns undefined if there is no rollout of the service. */
  abstract get (service: string): Promise<Result<Rollout | undefined, StoreFault>>
  /** Writes the status if the object still has the revision of the rollout. Fails with `conflict` otherwise. */
  abstract writeState (rollout: Rollout, state: RolloutState): Promise<Result<Rollout, StoreFault>>
}
