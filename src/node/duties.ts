/**
 * The duties of one node: claims them, keeps them, and notes when another node has taken one over.
 */
import type { Clock, Logger } from '../core/index.js'
import { claimLease, holdLease } from '../duty/index.js'
import type { HeldLease, Lease, LeaseGrant } from '../duty/index.js'
import type { Replica } from '../peer/index.js'
import type { ObjectStore } from '../store/index.js'
import type { Recorder } from '../timeline/index.js'

/** Two nodes that cannot reach each other would otherwise take a duty from one another in turns. */
const NO_RECLAIM_MS = 30_000

export interface DutyContext {
  replica: Replica
  store: ObjectStore
  clock: Clock
  recorder: Recorder
  log: Logger
  /** Aborted when the node stops; all duties are then released. */
  getLifetime: () => AbortSignal
  isRoot: (duty: string) => boolean
  onSource: (duty: string, up: boolean) => void
  /** Another node holds the duty now. */
  onLost: (duty: string, successor: Lease) => void
}

export class Duties {
  private readonly holding = new Map<string, { stop: AbortController, done: Promise<void> }>()
  private readonly lost = new Map<string, { at: number, successor: string }>()

  constructor (private readonly context: DutyContext) {}

  hasLost (duty: string): boolean {
    const lost = this.lost.get(duty)
    return lost !== undefined && this.context.clock.monotonic() - lost.at < NO_RECLAIM_MS
  }

  /** A successor that this node has followed can be reached; should it fall silent later, that is news. */
  noteFollowed (peer: string): void {
    for (const [duty, { successor }] of this.lost) if (successor === peer) this.lost.delete(duty)
  }

  /** False when another node was first or the platform does not answer. */
  async claim (duty: string, held: HeldLease): Promise<boolean> {
    const { replica, store, log, recorder } = this.context
    const lease = { holder: replica.identity.host, peer: replica.identity.peer, released: false }
    const claimed = await claimLease(store, duty, held.version, lease)
    if (claimed.err) return false
    log.info(`claimed ${duty}`)
    recorder.record('duty-claimed', duty)
    replica.duties.add(duty)
    const stop = new AbortController()
    this.holding.set(duty, { stop, done: this.keep(claimed.val, AbortSignal.any([this.context.getLifetime(), stop.signal])) })
    return true
  }

  /** Gives the duty back. */
  async release (duty: string): Promise<void> {
    const held = this.holding.get(duty)
    held?.stop.abort()
    await held?.done
  }

  /** Ends when all duties are released, after the end of the node's lifetime. */
  async awaitReleased (): Promise<void> {
    await Promise.allSettled([...this.holding.values()].map(async held => { await held.done }))
  }

  private async keep (grant: LeaseGrant, signal: AbortSignal): Promise<void> {
    const { replica, store, clock, log, recorder } = this.context
    const { duty } = grant
    const successor = await holdLease({
      store,
      clock,
      log,
      isRoot: () => this.context.isRoot(duty),
      onSource: up => { this.context.onSource(duty, up) }
    }, grant, signal)
    replica.duties.delete(duty)
    this.holding.delete(duty)
    recorder.record('duty-lost', duty)
    if (successor === undefined) return
    this.lost.set(duty, { at: clock.monotonic(), successor: successor.peer })
    this.context.onLost(duty, successor)
  }
}
