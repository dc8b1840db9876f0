/**
 * The task of one shard: gathers the changes of a few milliseconds into one conditional write, and
 * resolves each change when the platform's state shows what became of it.
 */
import { computeBackoff, Err, Ok } from '../../core/index.js'
import type { Clock, Random, Result } from '../../core/index.js'
import type { ObjectStore, StoreFault } from '../../store/index.js'
import { findStanding, hasRoom, mergeChanges } from '../queries/merge.js'
import type { Change } from '../queries/merge.js'
import { formatShardName } from '../queries/place.js'
import type { Place } from '../queries/place.js'
import { shardSchema } from '../schema.js'
import type { Claim, Shard } from '../schema.js'

/** `written` only when the platform's state shows it. `found`: another attempt has the key. */
export type ChangeResult = { kind: 'written' } | { kind: 'found', claim: Claim } | { kind: 'failed', fault: StoreFault }

export interface PendingChange {
  change: Change
  /** Aborted when nobody waits for the claim any more. */
  signal?: AbortSignal
  resolve: (result: ChangeResult) => void
}

export interface ShardContext {
  store: ObjectStore
  clock: Clock
  random: Random
  /** Called after this process created a shard object. */
  onCreated: (place: Place) => void
}

const CLAIM_GROUP_MS = 5
/** Nobody waits for a settlement, so it waits for others, or for the next claim. */
const SETTLE_GROUP_MS = 100
const MAX_SETTLE_WAIT_MS = 5_000
/** Settlements are given up after so many failures in a row, about 2 minutes. */
const MAX_FAILURES = 30
/** A batch is given up after so many writes in a row without success, about 30 s. */
const MAX_WRITES = 60
/** A throttled write waits, about half a second in all, while more claims join the next one. */
const MAX_THROTTLED = 6
const MAX_PENDING = 10_000
const BACKOFF = { baseMs: 10, maxMs: 1_000 }

const FULL: StoreFault = { code: 'too-large', message: 'too many claims on keys of the same 10 seconds' }
const ABANDONED: StoreFault = { code: 'unknown', message: 'the request ended before its claim was written' }
const GIVEN_UP: StoreFault = { code: 'unknown', message: 'the platform gave no clear answer' }

interface Held { version: number, shard: Shard }

export class ShardTask {
  private pending: PendingChange[] = []
  private running = false
  private waiting: AbortController | undefined
  private failures = 0
  private held: Held = { version: 0, shard: { claims: {} } }
  /** Another node wrote last, or nothing is known yet: a read before the write is cheaper than a conflict. */
  private contended = true

  constructor (private readonly context: ShardContext, private readonly place: Place) {}

  get isIdle (): boolean {
    return !this.running
  }

  push (change: PendingChange): void {
    if (this.pending.length >= MAX_PENDING) {
      change.resolve({ kind: 'failed', fault: FULL })
      return
    }
    this.pending.push(change)
    if (isClaim(change)) this.waiting?.abort()
    if (!this.running) void this.run()
  }

  private async run (): Promise<void> {
    this.running = true
    while (this.pending.length > 0) {
      await this.waitForChanges()
      const batch = this.pending
      this.pending = []
      await this.writeBatch(batch)
    }
    this.running = false
  }

  private async waitForChanges (): Promise<void> {
    const { clock } = this.context
    if (!this.pending.some(isClaim)) {
      this.waiting = new AbortController()
      await clock.sleep(Math.min(MAX_SETTLE_WAIT_MS, SETTLE_GROUP_MS * 2 ** this.failures), this.waiting.signal)
      this.waiting = undefined
    }
    if (this.pending.some(isClaim)) await clock.sleep(CLAIM_GROUP_MS)
  }

  /**
   * A write whose answer is missing is repeated unchanged: it cannot take effect twice, and once the
   * object has another version it can no longer take effect at all, so a read then decides.
   */
  private async writeBatch (batch: PendingChange[]): Promise<void> {
    const read = this.contended || this.hasTaken(batch) ? await this.readHeld() : Ok(undefined)
    if (read.err) {
      this.refuseBatch(batch, read.val)
      return
    }
    let left = batch
    let unanswered: Shard | undefined
    for (let attempt = 0; attempt < MAX_WRITES; attempt += 1) {
      if (unanswered === undefined) left = this.refuseFull(this.resolveKnown(left))
      if (left.length === 0) return
      const shard = unanswered ?? this.mergeBatch(left)
      const written = await this.attemptWrite(shard)
      if (written.ok && written.val === 'written') {
        resolveWritten(left, shard)
        return
      }
      if (written.ok) {
        unanswered = written.val === 'unanswered' ? shard : undefined
      } else if (unanswered === undefined && !(written.val.code === 'throttled' && attempt < MAX_THROTTLED)) {
        this.refuseBatch(left, written.val)
        return
      }
      await this.context.clock.sleep(computeBackoff(attempt, BACKOFF, this.context.random))
    }
    this.refuseBatch(left, GIVEN_UP)
  }

  /** `moved`: the object had another version, and has been read. */
  private async attemptWrite (shard: Shard): Promise<Result<'written' | 'moved' | 'unanswered', StoreFault>> {
    const { version: expected } = this.held
    const written = await this.context.store.commands.write({ kind: 'claim', name: formatShardName(this.place), expected, value: shard })
    if (written.ok) {
      this.held = { version: written.val, shard }
      this.failures = 0
      if (expected === 0) this.context.onCreated(this.place)
      return Ok('written')
    }
    if (written.val.code === 'unknown') return Ok('unanswered')
    if (written.val.code !== 'conflict') return written
    const read = await this.readHeld()
    this.contended = true
    return read.ok ? Ok('moved') : read
  }

  private async readHeld (): Promise<Result<void, StoreFault>> {
    const read = await this.context.store.queries.get('claim', formatShardName(this.place))
    if (read.err) return read
    const version = read.val?.version ?? 0
    const shard = read.val === undefined ? { claims: {} } : shardSchema.safeParse(read.val.value).data
    if (shard === undefined) return Err({ code: 'invalid', message: `claims in ${formatShardName(this.place)} do not parse` })
    this.contended = version !== this.held.version
    this.held = { version, shard }
    return Ok(undefined)
  }

  /** The state of another node's claim changes, so it is read again before a caller is told of it. */
  private hasTaken (batch: readonly PendingChange[]): boolean {
    return batch.some(one => isClaim(one) && findStanding(this.held.shard, one.change) === 'refused')
  }

  private mergeBatch (left: readonly PendingChange[]): Shard {
    return mergeChanges(this.held.shard, left.map(one => one.change))
  }

  /** Resolves what the state on the platform already decides, and gives the rest. */
  private resolveKnown (changes: PendingChange[]): PendingChange[] {
    return changes.filter(one => {
      const standing = findStanding(this.held.shard, one.change)
      if (standing === 'open' && one.signal?.aborted === true) one.resolve({ kind: 'failed', fault: ABANDONED })
      else if (standing === 'open') return true
      else resolveFrom(this.held.shard, one)
      return false
    })
  }

  private refuseFull (changes: PendingChange[]): PendingChange[] {
    if (!changes.some(isClaim) || hasRoom(this.mergeBatch(changes))) return changes
    changes.filter(isClaim).forEach(one => { one.resolve({ kind: 'failed', fault: FULL }) })
    return changes.filter(one => !isClaim(one))
  }

  /** Claims fail at once, settlements are kept for later. */
  private refuseBatch (left: readonly PendingChange[], fault: StoreFault): void {
    this.failures += 1
    const isOver = this.failures > MAX_FAILURES
    for (const one of left) if (isOver || isClaim(one)) one.resolve({ kind: 'failed', fault })
    if (!isOver) this.pending.unshift(...left.filter(one => !isClaim(one)))
  }
}

function isClaim ({ change }: PendingChange): boolean {
  return 'claim' in change
}

function resolveWritten (changes: readonly PendingChange[], shard: Shard): void {
  for (const one of changes) resolveFrom(shard, one)
}

function resolveFrom ({ claims }: Shard, { change, resolve }: PendingChange): void {
  const held = claims[change.id]
  if (held === undefined) resolve({ kind: 'failed', fault: GIVEN_UP })
  else if (held.attempt === change.attempt) resolve({ kind: 'written' })
  else resolve({ kind: 'found', claim: held })
}
