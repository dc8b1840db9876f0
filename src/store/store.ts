/**
 * The interface to the platform's object API. Support for another object API takes one file with
 * a subclass of each class. The version of an object must rise with every write.
 */
import type { Result } from '../core/index.js'
import type { ObjectKind, ObjectList, Removal, StoredObject, StoreFault, WatchEvent, Write } from './schema.js'

export type Freshness = 'current' | 'stale'

export abstract class StoreQueries {
  abstract get (kind: ObjectKind, name: string): Promise<Result<StoredObject | undefined, StoreFault>>
  /** With `stale`, the list may be seconds old and costs the store little. */
  abstract list (kind: ObjectKind, freshness?: Freshness): Promise<Result<ObjectList, StoreFault>>
  /** Yields an error at most once, as the last item. Ends when the signal is aborted. */
  abstract watch (kind: ObjectKind, from: number, signal: AbortSignal): AsyncIterable<Result<WatchEvent, StoreFault>>
}

export abstract class StoreCommands {
  /** Resolves to the new version. */
  abstract write (change: Write): Promise<Result<number, StoreFault>>
  /** Removes the object if it has the expected version. A missing object is a conflict with version 0. */
  abstract remove (removal: Removal): Promise<Result<undefined, StoreFault>>
}

export abstract class ObjectStore {
  abstract readonly queries: StoreQueries
  abstract readonly commands: StoreCommands
}
