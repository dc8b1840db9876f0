/**
 * Where the configuration comes from.
 */
import type { Result } from '../core/index.js'
import type { StoreFault } from '../store/index.js'
import type { Configuration } from './schema.js'

/** `faulty`: something stands there that cannot be applied. */
export type ConfigurationUpdate = { kind: 'configuration', configuration: Configuration } | { kind: 'faulty', reason: string } | { kind: 'none' }

/** What a watch brought, in order, and where the next one goes on. */
export interface WatchResult { updates: ConfigurationUpdate[], revision: number }

export abstract class ConfigurationSource {
  /** Reads the newest one. `revision` is where a watch that misses nothing after it starts. */
  abstract read (): Promise<Result<{ update: ConfigurationUpdate, revision: number }, StoreFault>>
  /** Waits for changes after the revision; gives none when the wait ended without one. */
  abstract watch (revision: number, signal: AbortSignal): Promise<Result<WatchResult, StoreFault>>
}
