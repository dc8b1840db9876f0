/**
 * Where the configuration comes from.
 */
import type { Result } from '../core/index.js'
import type { StoreFault } from '../store/index.js'
import type { Configuration } from './schema.js'

/** `faulty`: something stands there that cannot be applied. */
export type Sighting = { kind: 'configuration', configuration: Configuration } | { kind: 'faulty', reason: string } | { kind: 'none' }

export abstract class ConfigurationSource {
  /** Reads the newest one. `revision` is where a watch that misses nothing after it starts. */
  abstract read (): Promise<Result<{ sighting: Sighting, revision: number }, StoreFault>>
  /** Waits for changes after the revision; gives them in order, none when the wait ended without one. */
  abstract watch (revision: number, signal: AbortSignal): Promise<Result<{ sightings: Sighting[], revision: number }, StoreFault>>
}
