/**
 * Reads the configuration from the documents that operators write to the store with the tool.
 * An object that was not written with the tool may contain anything. An object without a valid
 * document is refused as a whole, and the last valid version from its history is used instead. The
 * version of the configuration follows the revision of the store.
 */
import { Err, Ok } from '../core/index.js'
import type { Clock, Result } from '../core/index.js'
import { convertStoredObject, findLastValidVersion, readPastEdits } from '../document/index.js'
import type { Entry } from '../snapshot/index.js'
import type { ObjectStore, StoredObject, StoreFault, StorePosition, WatchEvent } from '../store/index.js'
import type { Configuration, RefusedVersion } from './schema.js'
import { ConfigurationSource } from './source.js'
import type { ConfigurationUpdate, WatchResult } from './source.js'

/** An unresponsive connection looks like a store without edits, so each watch is reopened after this time. */
const WATCH_TIMEOUT_MS = 2_000
const MAX_REASON_CHARACTERS = 300
/** The operators' store is never restored from a copy. */
const EPOCH = 0

export class DocumentSource extends ConfigurationSource {
  private readonly entries = new Map<string, Entry>()
  private readonly refusedVersions = new Map<string, RefusedVersion>()

  constructor (private readonly store: ObjectStore, private readonly clock: Clock) {
    super()
  }

  override async read (): Promise<Result<{ update: ConfigurationUpdate, position: StorePosition }, StoreFault>> {
    const listed = await this.store.queries.list('service')
    if (listed.err) return listed
    const { revision, objects } = listed.val
    const stored = await this.storeObjects(objects)
    return stored.err ? stored : Ok({ update: this.makeUpdate(revision), position: { epoch: EPOCH, revision } })
  }

  override async watch ({ revision }: StorePosition, signal: AbortSignal): Promise<Result<WatchResult, StoreFault>> {
    const watchAbort = new AbortController()
    const watchSignal = AbortSignal.any([signal, watchAbort.signal])
    void this.clock.sleep(WATCH_TIMEOUT_MS, watchSignal).then(() => { watchAbort.abort() })
    const events: WatchEvent[] = []
    for await (const event of this.store.queries.watch('service', revision, watchSignal)) {
      watchAbort.abort()
      if (event.err) return event
      events.push(event.val)
    }
    return await this.applyEvents(events, revision)
  }

  /** An object that was removed without the tool changes nothing: its current version stays in force. */
  private async applyEvents (events: readonly WatchEvent[], from: number): Promise<Result<WatchResult, StoreFault>> {
    const last = events.at(-1)
    if (last === undefined) return Ok({ updates: [], position: { epoch: EPOCH, revision: from } })
    const stored = await this.storeObjects(events.filter(({ removed }) => !removed).map(({ object }) => object))
    return stored.err ? stored : Ok({ updates: [this.makeUpdate(last.revision)], position: { epoch: EPOCH, revision: last.revision } })
  }

  /** Revisions start at 0, but versions are positive. */
  private makeUpdate (revision: number): ConfigurationUpdate {
    const configuration: Configuration = {
      version: revision + 1, entries: [...this.entries.values()], replacesAll: false, refused: [...this.refusedVersions.values()]
    }
    return { kind: 'configuration', configuration }
  }

  /** Fails only when the history of a refused object cannot be read. */
  private async storeObjects (objects: readonly StoredObject[]): Promise<Result<undefined, StoreFault>> {
    for (const object of objects) {
      const entry = await this.readObject(object)
      if (entry.err) return entry
      if (entry.val !== undefined) this.storeEntry(entry.val)
    }
    return Ok(undefined)
  }

  private storeEntry (entry: Entry): void {
    if ((this.entries.get(entry.service)?.version ?? 0) < entry.version) this.entries.set(entry.service, entry)
  }

  private async readObject (object: StoredObject): Promise<Result<Entry | undefined, StoreFault>> {
    const { name, version } = object
    const converted = convertStoredObject(object)
    if (converted.ok) {
      if ((this.refusedVersions.get(name)?.version ?? 0) <= version) this.refusedVersions.delete(name)
      return Ok(converted.val)
    }
    this.recordRefusedVersion(object, converted.val)
    return await this.findLastValidEntry(object)
  }

  private recordRefusedVersion ({ name, version }: StoredObject, reason: string): void {
    const newestKnown = Math.max(this.refusedVersions.get(name)?.version ?? 0, this.entries.get(name)?.version ?? 0)
    if (newestKnown < version) this.refusedVersions.set(name, { service: name, version, reason: reason.slice(0, MAX_REASON_CHARACTERS) })
  }

  /** This node may never have read the last valid version, since a list returns only the newest versions. */
  private async findLastValidEntry ({ name, version }: StoredObject): Promise<Result<Entry | undefined, StoreFault>> {
    if ((this.entries.get(name)?.version ?? 0) > version) return Ok(undefined)
    const history = await readPastEdits(this.store, name)
    if (history.err) return Err({ code: 'unreachable', message: history.val.message })
    return Ok(findLastValidVersion(name, version, history.val))
  }
}
