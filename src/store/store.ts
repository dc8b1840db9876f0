/**
 * The platform's object API as the project sees it. Another object API is put behind it by
 * one file with a subclass of each class. Versions of one object must rise at every write.
 */
import type { Result } from '../core/index.js'
import type { ObjectKind, ObjectList, Removal, StoredObject, StoreFault, WatchEvent, Write } from './schema.js'

export type Freshness = 'current' | 'stale'

export abstract class StoreQueries {
  abstract get (kind: ObjectKind, name: string): Promise<Result<StoredObject | undefined, StoreFault>>
  /** `stale`: the list may be seconds old, and costs the store little. */
  abstract list (kind: ObjectKind, freshness?: Freshness): Promise<Result<ObjectList, StoreFault>>
  /** Yields an error at most once, as the last item. Ends when the signal is aborted. */
  abstract watch (kind: ObjectKind, from: number, signal: AbortSignal): AsyncIterable<Result<WatchEvent, StoreFault>>
}

export abstract class StoreCommands {
  /** Gives the new version. */
  abstract write (change: Write): Promise<Result<number, StoreFault>>
  /** Removes the object if it is at the version; an object that is not there is a conflict with version 0. */
  abstract remove (removal: Removal): Promise<Result<undefined, StoreFault>>
}

export abstract class ObjectStore {
  abstract readonly queries: StoreQueries
  abstract readonly commands: StoreCommands
}
