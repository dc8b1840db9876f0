/**
 * The platform's object API as the project sees it. Another object API is put behind it by
 * one file with a subclass of each class. Versions of one object must rise at every write.
 */
import type { Result } from '../core/index.js'
import type { Kind, ObjectList, Removal, StoredObject, StoreFault, WatchEvent, Write } from './schema.js'

export abstract class StoreQueries {
  abstract get (kind: Kind, name: string): Promise<Result<StoredObject | undefined, StoreFault>>
  abstract list (kind: Kind): Promise<Result<ObjectList, StoreFault>>
  /** Yields an error at most once, as the last item. Ends when the signal is aborted. */
  abstract watch (kind: Kind, from: number, signal: AbortSignal): AsyncIterable<Result<WatchEvent, StoreFault>>
}

export abstract class StoreCommands {
  /** Gives the new version. */
  abstract write (change: Write): Promise<Result<number, StoreFault>>
  /** A conflict with version 0 means that the object is not there. */
  abstract remove (removal: Removal): Promise<Result<void, StoreFault>>
}

export abstract class ObjectStore {
  abstract readonly queries: StoreQueries
  abstract readonly commands: StoreCommands
}
