/**
 * The claims of this process on idempotency keys. Only a ticket that `claimKey` gave allows a request
 * to be sent on. There is no lease in a claim, so a pause of this process at any point is harmless.
 */
import type { Clock, Random } from '../core/index.js'
import type { ObjectStore } from '../store/index.js'
import { findPlace, formatShardName } from './queries/place.js'
import { ShardTask } from './tasks/shard.js'
import { pruneShards } from './tasks/prune.js'
import type { ClaimRequest } from './schema.js'
import type { PendingChange } from './tasks/shard.js'

/** Each held shard is up to a megabyte; 32 cover the current and the previous 10 s. */
const MAX_IDLE_SHARDS = 32

export interface LedgerContext {
  node: string
  store: ObjectStore
  clock: Clock
  random: Random
}

export class ClaimLedger {
  private readonly tasks = new Map<string, ShardTask>()

  constructor (readonly context: LedgerContext) {}

  /** Commands only: see commands/claim.ts and commands/settle.ts. */
  push (request: ClaimRequest, change: PendingChange): void {
    const place = findPlace(request)
    const name = formatShardName(place)
    const { store, clock, random } = this.context
    const onCreated = (): void => { void pruneShards(store, place, clock.now()) }
    const task = this.tasks.get(name) ?? new ShardTask({ store, clock, random, onCreated }, place)
    this.tasks.delete(name)
    this.tasks.set(name, task)
    this.dropIdle()
    task.push(change)
  }

  /** Least recently used first. */
  private dropIdle (): void {
    if (this.tasks.size <= MAX_IDLE_SHARDS) return
    for (const [name, task] of this.tasks) {
      if (task.isIdle) this.tasks.delete(name)
      if (this.tasks.size <= MAX_IDLE_SHARDS) return
    }
  }
}
