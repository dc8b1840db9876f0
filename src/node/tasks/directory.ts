/**
 * The task that keeps this host's record in the store and learns of other hosts from there, which is
 * how a node that knows nobody finds its peers. Between nodes that know each other, records travel
 * straight (tasks/peers.ts), so the store is asked rarely.
 */
import { computeBackoff } from '../../core/index.js'
import type { Clock, StructuredLog, Random } from '../../core/index.js'
import { formatRecordStamp, hostRecordSchema } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { ObjectStore, StoredObject, StoreFault } from '../../store/index.js'
import { storeRecords } from '../commands/records.js'
import type { NodeState } from '../state.js'

export interface HostDirectoryContext { state: NodeState, store: ObjectStore, clock: Clock, random: Random, log: StructuredLog }

/** Hosts that start together do not find each other in their first lists, so the next ones follow soon. */
const FIRST_REFRESH_INTERVAL_MS = 500
const REFRESH_INTERVAL_MS = 5_000
/** Lists without the own object after which it counts as removed. */
const MISSED_LISTS_LIMIT = 2
const BACKOFF = { baseMs: 100, maxMs: 2_000 }

export class HostDirectory {
  /** Versions of the hosts' objects, as far as they are known. */
  private readonly versions = new Map<string, number>()
  private writtenStamp = ''
  /** Lists in a row that did not have the own object. */
  private missedLists = 0
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

  /** The own record changed: it is written soon. */
  notifyChanged (): void {
    this.wakeTask?.()
  }

  /** Takes a host out of the store: this one when it leaves for good, or one that is gone. */
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
    const { objects } = listed.val
    storeRecords(state, { records: objects.flatMap(object => this.readRecord(object)) }, clock)
    state.knowsHosts = true
    const names = new Set(objects.map(object => object.name))
    for (const name of this.versions.keys()) if (name !== state.identity.host && !names.has(name)) this.versions.delete(name)
    this.checkLocalObject(names)
    return undefined
  }

  /** A peer that could not reach this host for long removes its object. One list may be older than the own write. */
  private checkLocalObject (names: ReadonlySet<string>): void {
    const { host } = this.context.state.identity
    this.missedLists = names.has(host) ? 0 : this.missedLists + 1
    if (this.missedLists < MISSED_LISTS_LIMIT || !this.versions.delete(host)) return
    this.writtenStamp = ''
    this.context.log.log('change', 'own_object_missing', { lists: this.missedLists })
  }

  /** An entry that cannot be read names no host, and does no harm to the others. */
  private readRecord ({ name, version, value }: StoredObject): HostRecord[] {
    const { log } = this.context
    this.versions.set(name, Math.max(this.versions.get(name) ?? 0, version))
    const parsed = hostRecordSchema.safeParse(value)
    if (parsed.success && parsed.data.host === name) return [parsed.data]
    log.log('detail', 'host_record_unreadable', { name, version })
    return []
  }

  private async writeLocalRecord (): Promise<StoreFault | undefined> {
    const { state: { localHost: own, identity: { host } }, store } = this.context
    const record = own.newestRecord
    if (record === undefined || !this.hasChanged) return undefined
    const written = await store.commands.write({ kind: 'host', name: host, expected: this.versions.get(host) ?? 0, value: record })
    if (written.ok) {
      this.versions.set(host, written.val)
      this.writtenStamp = formatRecordStamp(record)
      return undefined
    }
    if (written.val.version !== undefined) this.versions.set(host, written.val.version)
    return written.val
  }

  private get hasChanged (): boolean {
    const { newestRecord: newest } = this.context.state.localHost
    return newest !== undefined && formatRecordStamp(newest) !== this.writtenStamp
  }

  private async waitForChange (ms: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    const stop = (): void => { woken.abort() }
    this.wakeTask = stop
    signal.addEventListener('abort', stop, { once: true })
    await this.context.clock.sleep(ms, woken.signal)
    signal.removeEventListener('abort', stop)
    this.wakeTask = undefined
  }
}
