/**
 * The task that keeps this host's record in the store and learns of other hosts from there, which is
 * how a node that knows nobody finds its peers. Between nodes that know each other, records travel
 * straight (tasks/peers.ts), so the store is asked rarely.
 */
import { computeBackoff } from '../../core/index.js'
import type { Clock, DecisionLog, Random } from '../../core/index.js'
import { formatStamp, hostRecordSchema } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { ObjectStore, StoredObject, StoreFault } from '../../store/index.js'
import { takeRecords } from '../commands/take.js'
import type { MeshState } from '../state.js'

export interface DirectoryContext { state: MeshState, store: ObjectStore, clock: Clock, random: Random, log: DecisionLog }

const REFRESH_MS = 5_000
const BACKOFF = { baseMs: 100, maxMs: 2_000 }

export class Directory {
  /** Version of the own object, as far as it is known. */
  private version = 0
  private written = ''
  private wake: (() => void) | undefined

  constructor (private readonly context: DirectoryContext) {}

  async run (signal: AbortSignal): Promise<void> {
    const { random, log } = this.context
    let failures = 0
    let hasRead = false
    while (!signal.aborted) {
      const fault: StoreFault | undefined = await this.fetchHosts(hasRead) ?? await this.writeOwn()
      hasRead ||= fault === undefined
      failures = fault === undefined ? 0 : failures + 1
      if (failures === 1) log.note('change', 'directory_failed', { code: fault?.code, reason: fault?.message })
      if (fault === undefined && this.hasChanged) continue
      await this.waitForChange(failures === 0 ? REFRESH_MS * (0.8 + 0.4 * random.next()) : computeBackoff(failures, BACKOFF, random), signal)
    }
  }

  /** The own record changed: it is written soon. */
  wakeUp (): void {
    this.wake?.()
  }

  /** Takes this host out of the store, when it leaves for good. */
  async removeOwn (): Promise<void> {
    const { state, store, log } = this.context
    if (this.version === 0) return
    const removed = await store.commands.remove({ kind: 'host', name: state.identity.host, expected: this.version })
    if (removed.err) log.note('change', 'own_record_kept', { code: removed.val.code, reason: removed.val.message })
  }

  private async fetchHosts (hasRead: boolean): Promise<StoreFault | undefined> {
    const { state, store, clock } = this.context
    const listed = await store.queries.list('host', hasRead ? 'stale' : 'current')
    if (listed.err) return listed.val
    takeRecords(state, listed.val.objects.flatMap(object => this.readRecord(object)), clock)
    state.knowsHosts = true
    return undefined
  }

  /** An entry that cannot be read names no host, and does no harm to the others. */
  private readRecord ({ name, version, value }: StoredObject): HostRecord[] {
    const { state, log } = this.context
    if (name === state.identity.host) this.version = Math.max(this.version, version)
    const parsed = hostRecordSchema.safeParse(value)
    if (parsed.success && parsed.data.host === name) return [parsed.data]
    log.note('detail', 'host_record_unreadable', { name, version })
    return []
  }

  private async writeOwn (): Promise<StoreFault | undefined> {
    const { state: { own, identity }, store } = this.context
    const record = own.newest
    if (record === undefined || !this.hasChanged) return undefined
    const written = await store.commands.write({ kind: 'host', name: identity.host, expected: this.version, value: record })
    if (written.ok) {
      this.version = written.val
      this.written = formatStamp(record)
      return undefined
    }
    if (written.val.version !== undefined) this.version = written.val.version
    return written.val
  }

  private get hasChanged (): boolean {
    const { newest } = this.context.state.own
    return newest !== undefined && formatStamp(newest) !== this.written
  }

  private async waitForChange (ms: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    const stop = (): void => { woken.abort() }
    this.wake = stop
    signal.addEventListener('abort', stop, { once: true })
    await this.context.clock.sleep(ms, woken.signal)
    signal.removeEventListener('abort', stop)
    this.wake = undefined
  }
}
