/**
 * The slots of one target, counted by the node of its host, and a short queue in front of them.
 */
import { Err, Ok, makeFailure } from '../core/index.js'
import type { Clock, Failure, Result } from '../core/index.js'
import type { RouteClass } from '../document/index.js'

const RETRY_AFTER_MS = 100

export interface Permit { release: () => void }

interface Waiter { routeClass: RouteClass, settle: (result: Result<Permit, Failure>) => void }

export class SlotGate {
  private used = 0
  private readonly waiting: Waiter[] = []

  constructor (private slots: number, private readonly queue: number, private readonly clock: Clock) {}

  get inUse (): number {
    return this.used
  }

  /** Commands only: the announcement or the document changed the number of slots. */
  resize (slots: number): void {
    this.slots = slots
  }

  async acquire (routeClass: RouteClass, waitMs: number, signal: AbortSignal): Promise<Result<Permit, Failure>> {
    if (this.used < this.slots) return Ok(this.takeSlot())
    if (this.waiting.length >= this.queue) return Err(makeFailure('not-run', 503, 'queue_full', 'the target has no free slot and its queue is full', RETRY_AFTER_MS))
    return await this.waitForSlot(routeClass, waitMs, signal)
  }

  private takeSlot (): Permit {
    this.used += 1
    let released = false
    return {
      release: () => {
        if (released) return
        released = true
        this.used -= 1
        this.serveNext()
      }
    }
  }

  private serveNext (): void {
    if (this.used >= this.slots) return
    this.waiting.shift()?.settle(Ok(this.takeSlot()))
  }

  private async waitForSlot (routeClass: RouteClass, waitMs: number, signal: AbortSignal): Promise<Result<Permit, Failure>> {
    const ended = new AbortController()
    return await new Promise(resolve => {
      const waiter: Waiter = {
        routeClass,
        settle: result => {
          ended.abort()
          resolve(result)
        }
      }
      const giveUp = (): void => {
        const index = this.waiting.indexOf(waiter)
        if (index < 0) return
        this.waiting.splice(index, 1)
        waiter.settle(Err(makeFailure('not-run', 504, 'deadline_in_queue', 'the deadline passed before a slot was free')))
      }
      this.waiting.push(waiter)
      signal.addEventListener('abort', giveUp, { once: true, signal: ended.signal })
      this.clock.sleep(waitMs, ended.signal).then(giveUp, giveUp)
    })
  }
}
