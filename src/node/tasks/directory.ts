/**
 * The task that keeps the local host's record in the store and reads the records of other hosts from
 * there, which is how a node that knows no peers finds them. Nodes that know each other exchange records
 * directly (tasks/peers.ts), so the store is read rarely.
 */
import { computeBackoff } from '../../core/index.js'
import type { Clock, Random, StructuredLog } from '../../core/index.js'
import { formatRecordStamp, hostRecordSchema } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { ObjectStore, StoredObject, StoreFault } from '../../store/index.js'
import { storeRecords } from '../commands/records.js'
import type { NodeState } from '../state.js'

export interface HostDirectoryContext {
  state: NodeState
  store: ObjectStore
  clock: Clock
  random: Random
  log: StructuredLog
  /** Called after each list of the hosts. */
  onListed?: () => void
  /** Called when the store has acknowledged a record of the local host. */
  onWritten?: (record: HostRecord) => void
}

/** Hosts that start together do not find each other in their first lists, so the next lists follow soon. */
const FIRST_REFRESH_INTERVAL_MS = 500
const REFRESH_INTERVAL_MS = 5_000
const BACKOFF = { baseMs: 100, maxMs: 2_000 }

export class HostDirectory {
  /** Known versions of the hosts' objects in the store, of the epoch `epoch`. */
  private readonly versions = new Map<string, number>()
  private epoch: number | undefined
  private writtenStamp = ''
  private wakeTask: (() => void) | undefined

  constructor (private readonly context: HostDirectoryContext) {}

  async run (signal: AbortSignal): Promise<void> {
    const { random, log } = this.context
    let failures = 0
    let hasRead = false
    let refreshMs = FIRST_REFRESH_INTERVAL_MS
    while (!signal.aborted) {
      const fault: StoreFault | undefined = await this.fetchHosts(hasRead) ?? await this.writeLocalRecord()
      hasRead ||= fault === undefined
      failures = fault === undefined ? 0 : failures + 1
      if (failures === 1) log.log('change', 'directory_failed', { code: fault?.code, reason: fault?.message })
      if (fault === undefined && this.hasChanged) continue
      await this.waitForChange(failures === 0 ? refreshMs * (0.8 + 0.4 * random.next()) : computeBackoff(failures, BACKOFF, random), signal)
      if (failures === 0) refreshMs = Math.min(REFRESH_INTERVAL_MS, refreshMs * 2)
    }
  }

  /** Wakes the task when the local record has changed, so that it is written soon. */
  notifyChanged (): void {
    this.wakeTask?.()
  }

  /** Removes a host's object from the store: the local host when it leaves permanently, or a host that is gone. */
  async remove (host: string): Promise<void> {
    const { store, log } = this.context
    const expected = this.versions.get(host)
    if (expected === undefined) return
    const removed = await store.commands.remove({ kind: 'host', name: host, expected })
    if (removed.err) log.log('change', 'host_object_kept', { peer: host, code: removed.val.code, reason: removed.val.message })
  }

  private async fetchHosts (hasRead: boolean): Promise<StoreFault | undefined> {
    const { state, store, clock } = this.context
    const listed = await store.queries.list('host', hasRead ? 'stale' : 'current')
    if (listed.err) return listed.val
    const { objects, epoch = 0 } = listed.val
    this.advanceEpoch(epoch)
    storeRecords(state, { records: objects.flatMap(object => this.readRecord(object)) }, clock)
    state.knowsHosts = true
    this.context.onListed?.()
    const names = new Set(objects.map(object => object.name))
    for (const name of this.versions.keys()) if (name !== state.identity.host && !names.has(name)) this.versions.delete(name)
    return this.matchesWritten(objects.find(({ name }) => name === state.identity.host)) ? undefined : await this.checkLocalObject()
  }

  /** A store that was restored has lost changes and assigns their versions again. */
  private advanceEpoch (epoch: number): void {
    if (this.epoch !== undefined && epoch > this.epoch) this.versions.clear()
    this.epoch = Math.max(epoch, this.epoch ?? 0)
  }

  /** Before the first write there is nothing to compare. */
  private matchesWritten (object: StoredObject | undefined): boolean {
    const stored = hostRecordSchema.safeParse(object?.value)
    return this.writtenStamp === '' || (stored.success && formatRecordStamp(stored.data) === this.writtenStamp)
  }

  /**
   * A peer that could not reach this host for a long time removes its object, and a restore of the store may lose its last state. A
   * list may be older than the last write of this node, so the object itself is read before the record is written again.
   */
  private async checkLocalObject (): Promise<StoreFault | undefined> {
    const { store, log, state: { identity: { host } } } = this.context
    const read = await store.queries.get('host', host)
    if (read.err) return read.val
    const object = read.val
    if (this.matchesWritten(object)) return undefined
    this.versions.set(host, object?.version ?? 0)
    log.log('change', 'own_record_lost', { epoch: this.epoch, isStored: object !== undefined })
    this.writtenStamp = ''
    return undefined
  }

  /** Returns no record if the object is invalid, so that it does not affect other hosts, or if this version of it was read before. */
  private readRecord ({ name, version, value }: StoredObject): HostRecord[] {
    const { log, state: { identity } } = this.context
    const knownVersion = this.versions.get(name)
    const isLocal = name === identity.host
    // The version of the local host's object may be known from a write that failed, without its record.
    if (version === knownVersion && !isLocal) return []
    // A list that is stale must not undo the version that a write of this node returned.
    this.versions.set(name, isLocal ? Math.max(knownVersion ?? 0, version) : version)
    const parsed = hostRecordSchema.safeParse(value)
    if (parsed.success && parsed.data.host === name) return [parsed.data]
    log.log('detail', 'host_record_unreadable', { name, version })
    return []
  }

  private async writeLocalRecord (): Promise<StoreFault | undefined> {
    const { state: { localHost, identity: { host } }, store } = this.context
    const record = localHost.newestRecord
    if (record === undefined || !this.hasChanged) return undefined
    const written = await store.commands.write({ kind: 'host', name: host, expected: this.versions.get(host) ?? 0, value: record })
    if (written.ok) {
      this.versions.set(host, written.val)
      this.writtenStamp = formatRecordStamp(record)
      this.context.onWritten?.(record)
      return undefined
    }
    if (written.val.version !== undefined) this.versions.set(host, written.val.version)
    return written.val
  }

  private get hasChanged (): boolean {
    const { newestRecord } = this.context.state.localHost
    return newestRecord !== undefined && formatRecordStamp(newestRecord) !== this.writtenStamp
  }

  private async waitForChange (ms: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    const wake = (): void => { woken.abort() }
    this.wakeTask = wake
    signal.addEventListener('abort', wake, { once: true })
    await this.context.clock.sleep(ms, woken.signal)
    signal.removeEventListener('abort', wake)
    this.wakeTask = undefined
  }
}
