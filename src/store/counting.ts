/**
 * Counts the operations on the platform by operation and object kind, because the platform limits request rates.
 */
import type { Result } from '../core/index.js'
import type { ObjectKind, ObjectList, Removal, StoredObject, StoreFault, WatchEvent, Write } from './schema.js'
import type { Freshness } from './store.js'
import { ObjectStore, StoreCommands, StoreQueries } from './store.js'

export type CountCall = (call: 'get' | 'list' | 'watch' | 'write' | 'remove', kind: ObjectKind) => void

class CountingQueries extends StoreQueries {
  constructor (private readonly inner: StoreQueries, private readonly count: CountCall) {
    super()
  }

  override async get (kind: ObjectKind, name: string): Promise<Result<StoredObject | undefined, StoreFault>> {
    this.count('get', kind)
    return await this.inner.get(kind, name)
  }

  override async list (kind: ObjectKind, freshness?: Freshness): Promise<Result<ObjectList, StoreFault>> {
    this.count('list', kind)
    return await this.inner.list(kind, freshness)
  }

  override watch (kind: ObjectKind, from: number, signal: AbortSignal): AsyncIterable<Result<WatchEvent, StoreFault>> {
    this.count('watch', kind)
    return this.inner.watch(kind, from, signal)
  }
}

class CountingCommands extends StoreCommands {
  constructor (private readonly inner: StoreCommands, private readonly count: CountCall) {
    super()
  }

  override async write (change: Write): Promise<Result<number, StoreFault>> {
    this.count('write', change.kind)
    return await this.inner.write(change)
  }

  override async remove (removal: Removal): Promise<Result<undefined, StoreFault>> {
    this.count('remove', removal.kind)
    return await this.inner.remove(removal)
  }
}

export class CountingObjectStore extends ObjectStore {
  readonly queries: StoreQueries
  readonly commands: StoreCommands

  constructor (inner: ObjectStore, count: CountCall) {
    super()
    this.queries = new CountingQueries(inner.queries, count)
    this.commands = new CountingCommands(inner.commands, count)
  }
}
