/**
 * Counts the calls to the store, since the platform charges each of them.
 */
import type { Result } from '../core/index.js'
import type { StoreFault, StorePosition } from '../store/index.js'
import type { Rollout, RolloutSet, RolloutState } from './schema.js'
import { RolloutStore } from './store.js'
import type { RolloutChanges } from './store.js'

export class CountingRolloutStore extends RolloutStore {
  constructor (private readonly store: RolloutStore, private readonly onCall: (call: 'list' | 'watch' | 'get' | 'write') => void) {
    super()
  }

  override async read (): Promise<Result<{ set: RolloutSet, position: StorePosition }, StoreFault>> {
    this.onCall('list')
    return await this.store.read()
  }

  override async watch (position: StorePosition, signal: AbortSignal): Promise<Result<RolloutChanges, StoreFault>> {
    this.onCall('watch')
    return await this.store.watch(position, signal)
  }

  override async get (service: string): Promise<Result<Rollout | undefined, StoreFault>> {
    this.onCall('get')
    return await this.store.get(service)
  }

  override async writeState (rollout: Rollout, state: RolloutState): Promise<Result<Rollout, StoreFault>> {
    this.onCall('write')
    return await this.store.writeState(rollout, state)
  }
}
