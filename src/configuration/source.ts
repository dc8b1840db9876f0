/**
 * The interface of the sources of the configuration.
 */
import type { Result } from '../core/index.js'
import type { Freshness, StoreFault, StorePosition } from '../store/index.js'
import type { Configuration } from './schema.js'

/** `faulty`: the source holds an invalid configuration, which cannot be applied. */
export type ConfigurationUpdate = { kind: 'configuration', configuration: Configuration } | { kind: 'faulty', reason: string } | { kind: 'none' }

/** The updates from a watch, in order, and the position from which the next watch continues. */
export interface WatchResult { updates: ConfigurationUpdate[], position: StorePosition }

export abstract class ConfigurationSource {
  /** Reads the newest configuration. A watch from `position` misses no later change. */
  abstract read (): Promise<Result<{ update: ConfigurationUpdate, position: StorePosition }, StoreFault>>
  /** Waits for changes after the position. Returns no updates if the wait ended without a change. */
  abstract watch (position: StorePosition, signal: AbortSignal): Promise<Result<WatchResult, StoreFault>>

  /**
   * Returns the changes after the position that the source knows now; with `stale`, it may be some seconds behind. A source without a
   * cheaper call watches.
   */
  async poll (position: StorePosition, _freshness: Freshness, signal: AbortSignal): Promise<Result<WatchResult, StoreFault>> {
    return await this.watch(position, signal)
  }
}
