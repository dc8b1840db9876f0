/**
 * Tracks whether another process has a copy of a record of the local host. What a node acknowledges has to hold after its process has
 * ended, so the record that says so must be in the store, or, while the store does not respond, at a peer.
 */
import { Emitter } from '../core/index.js'
import type { Clock } from '../core/index.js'
import { compareRecordStamps } from '../membership/index.js'
import type { HostRecord } from '../membership/index.js'

/** Time after which a copy at a peer suffices. Only the store keeps it when all processes end at once. */
const STORE_WAIT_MS = 400
/** Targets wait a second for an acknowledgement. */
const COPY_TIMEOUT_MS = 800

export class RecordCopies {
  private stored: HostRecord | undefined
  private shared: HostRecord | undefined
  private readonly changes = new Emitter<'changed'>()

  constructor (private readonly clock: Clock) {}

  /** The store has acknowledged the write of the record. */
  recordStored (record: HostRecord): void {
    this.stored = selectNewer(this.stored, record)
    this.changes.emit('changed')
  }

  /** A peer has received the record. */
  recordShared (record: HostRecord): void {
    this.shared = selectNewer(this.shared, record)
    this.changes.emit('changed')
  }

  /** Resolves to true when there is a copy of a record that `findRecord` returns or of a later one, and to false after COPY_TIMEOUT_MS. */
  async awaitCopy (findRecord: () => HostRecord | undefined): Promise<boolean> {
    const isStored = (): boolean => isCopy(this.stored, findRecord())
    const hasCopy = (): boolean => isStored() || isCopy(this.shared, findRecord())
    await this.waitUntil(isStored, STORE_WAIT_MS)
    await this.waitUntil(hasCopy, COPY_TIMEOUT_MS - STORE_WAIT_MS)
    return hasCopy()
  }

  private async waitUntil (isReached: () => boolean, timeoutMs: number): Promise<void> {
    if (isReached()) return
    const reached = new AbortController()
    const check = (): void => { if (isReached()) reached.abort() }
    const subscription = this.changes.stream.subscribe({ next: check, error: () => {}, complete: () => {} })
    await this.clock.sleep(timeoutMs, reached.signal)
    subscription.unsubscribe()
  }
}

function selectNewer (known: HostRecord | undefined, record: HostRecord): HostRecord {
  return known === undefined || compareRecordStamps(record, known) > 0 ? record : known
}

function isCopy (copy: HostRecord | undefined, record: HostRecord | undefined): boolean {
  return copy !== undefined && record !== undefined && compareRecordStamps(copy, record) >= 0
}
