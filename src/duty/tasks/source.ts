/**
 * The platform as upstream of the origin head: lists the documents, then watches for changes from
 * the list's revision on. When the watch ends it lists again; versions that are not higher than
 * those held change nothing, so neither a list that lags nor a repeated event does harm.
 */
import { Ok } from '../../core/index.js'
import type { Fault, Logger, Result } from '../../core/index.js'
import { readPastEdits } from '../../document/index.js'
import { receiveEntries, Upstream } from '../../peer/index.js'
import type { Receiver, UpstreamEnd } from '../../peer/index.js'
import type { ObjectStore, StoredObject, WatchEvent } from '../../store/index.js'
import type { Entry } from '../../snapshot/index.js'
import { convertObject, findGoodEntry } from '../queries/convert.js'

/** Keeps a watch that ends at once, or a list that lags behind the kept events, from becoming a stream of lists. */
const LIST_INTERVAL_MS = 200
/** A connection that has gone silent looks like a platform without edits, so each watch is opened anew after this time. */
const WATCH_MS = 2_000
const MAX_REASON_CHARACTERS = 300

export class PlatformUpstream extends Upstream {
  override readonly name = 'platform'

  constructor (private readonly receiver: Receiver, private readonly store: ObjectStore, private readonly log: Logger) {
    super()
  }

  override async run (signal: AbortSignal): Promise<UpstreamEnd> {
    while (!signal.aborted) {
      const listed = await this.store.queries.list('service')
      if (listed.err) return { reason: 'closed', detail: listed.val.message }
      const taken = await this.takeObjects(listed.val.objects)
      if (taken.err) return { reason: 'closed', detail: taken.val.message }
      this.receiver.replica.ready = true
      this.markAttached()
      const watched = await this.followWatch(listed.val.revision, signal)
      if (watched.err) return { reason: 'closed', detail: watched.val.message }
      await this.receiver.clock.sleep(LIST_INTERVAL_MS, signal)
    }
    return { reason: 'closed', detail: 'told to stop' }
  }

  /** Until the platform ends a watch, for whatever reason: the list that follows says whether it answers. */
  private async followWatch (from: number, signal: AbortSignal): Promise<Result<undefined, Fault>> {
    let revision = from
    while (!signal.aborted) {
      const end = new AbortController()
      void this.receiver.clock.sleep(WATCH_MS, AbortSignal.any([signal, end.signal])).then(() => { end.abort() })
      for await (const event of this.store.queries.watch('service', revision, end.signal)) {
        if (event.err) {
          end.abort()
          this.log.info(`watch ended, listing again: ${event.val.message}`)
          return Ok(undefined)
        }
        const taken = await this.takeEvent(event.val)
        if (taken.err) return taken
        revision = event.val.revision
      }
    }
    return Ok(undefined)
  }

  private async takeEvent ({ object, removed }: WatchEvent): Promise<Result<undefined, Fault>> {
    if (!removed) return await this.takeObjects([object])
    this.log.warn(`object of ${object.name} was removed past the tool; the version held stays in force`)
    return Ok(undefined)
  }

  /** Fails only when the history of a refused object cannot be read. */
  private async takeObjects (objects: readonly StoredObject[]): Promise<Result<undefined, Fault>> {
    const entries: Entry[] = []
    for (const object of objects) {
      const read = await this.readObject(object)
      if (read.err) return read
      if (read.val !== undefined) entries.push(read.val)
    }
    receiveEntries(this.receiver, entries)
    return Ok(undefined)
  }

  /** An object that does not hold a valid document is refused whole; the version before it stays. */
  private async readObject (object: StoredObject): Promise<Result<Entry | undefined, Fault>> {
    const converted = convertObject(object)
    if (converted.ok) {
      this.clearRefusal(object)
      return Ok(converted.val)
    }
    this.noteRefusal(object, converted.val)
    return await this.findLastGood(object)
  }

  private clearRefusal ({ name, version }: StoredObject): void {
    const { refusals } = this.receiver.replica
    if ((refusals.get(name)?.version ?? 0) <= version) refusals.delete(name)
  }

  private noteRefusal ({ name, version }: StoredObject, reason: string): void {
    const { refusals, table } = this.receiver.replica
    const known = Math.max(refusals.get(name)?.version ?? 0, table.staged.get(name)?.version ?? 0)
    if (known >= version) return
    this.log.warn(`refused ${name} version ${version}: ${reason}`)
    refusals.set(name, { service: name, version, reason: reason.slice(0, MAX_REASON_CHARACTERS) })
  }

  /** The last good version may never have been seen here: a list shows only the newest, and a head that starts holds none. */
  private async findLastGood ({ name, version }: StoredObject): Promise<Result<Entry | undefined, Fault>> {
    const held = this.receiver.replica.table.staged.get(name)?.version ?? 0
    if (held > version) return Ok(undefined)
    const history = await readPastEdits(this.store, name)
    if (history.err) return history
    const entry = findGoodEntry(name, version, history.val)
    if (entry !== undefined && entry.version > held) this.log.info(`took ${name} version ${entry.version} from the history`)
    return Ok(entry)
  }
}
