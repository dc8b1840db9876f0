/**
 * The slots of one target, counted by the node of its host, and a short queue in front of them.
 */
import { Err, Ok, makeFailure } from '../core/index.js'
import type { Clock, Failure, Result } from '../core/index.js'
import type { RouteClass } from '../document/index.js'
import { computeWait, DeadlineAdmissionPolicy } from './admission.js'
import type { AdmissionPolicy } from './admission.js'
import type { TargetLoad } from './load.js'
import { WeightedFairQueue } from './queue.js'

const RETRY_AFTER_MS = 100
const SAMPLE_SHARE = 0.1

export interface Permit { release: () => void }

export interface SlotLimits { slots: number, queue: number }

interface QueuedRequest { routeClass: RouteClass, settle: (result: Result<Permit, Failure>) => void }

export class SlotLimiter {
  private used = 0
  /** Moving mean of how long a request held its slot. */
  private averageServiceMs = 0
  private readonly queue = new WeightedFairQueue<QueuedRequest>()

  constructor (
    private limits: SlotLimits, private readonly clock: Clock, private readonly admission: AdmissionPolicy = new DeadlineAdmissionPolicy()
  ) {}

  get usedSlots (): number {
    return this.used
  }

  get load (): TargetLoad {
    const freeInMs = this.used < this.limits.slots ? 0 : computeWait(this.queue.length, this.limits.slots, this.averageServiceMs)
    return { used: this.used, waiting: this.queue.length, slots: this.limits.slots, freeInMs }
  }

  get isIdle (): boolean {
    return this.used === 0 && this.queue.length === 0
  }

  /** Commands only: the announcement or the document changed the limits. Requests in flight above them run on. */
  resize (limits: SlotLimits): void {
    this.limits = limits
    while (this.queue.length > limits.queue) this.queue.removeLowest()?.settle(Err(makeShedFailure('the queue was made shorter')))
    this.admitNext()
  }

  async acquire (routeClass: RouteClass, leftMs: number, signal: AbortSignal, objectiveMs = Infinity): Promise<Result<Permit, Failure>> {
    if (this.used < this.limits.slots) return Ok(this.acquireSlot())
    const waitMs = this.admission.computeMaxWait({ leftMs, objectiveMs, serviceMs: this.averageServiceMs })
    const { slots } = this.limits
    const late = this.admission.findRejectionReason({ ahead: this.queue.countAhead(routeClass), slots, serviceMs: this.averageServiceMs, waitMs })
    if (late !== undefined) return Err(makeFailure('not-run', 503, 'no_time', late, this.retryAfterMs))
    if (this.queue.length >= this.limits.queue && !this.shedBelow(routeClass)) {
      return Err(makeFailure('not-run', 503, 'queue_full', 'the target has no free slot and its queue is full', this.retryAfterMs))
    }
    return await this.waitForSlot(routeClass, waitMs, signal)
  }

  /** The target is gone: nobody will free a slot for those who wait. */
  close (): void {
    while (this.queue.length > 0) this.queue.removeLowest()?.settle(Err(makeFailure('not-run', 503, 'no_target', 'the target is gone', RETRY_AFTER_MS)))
  }

  private shedBelow (routeClass: RouteClass): boolean {
    const shed = this.queue.removeBelow(routeClass)
    shed?.settle(Err(makeShedFailure('a request of a higher class took its place in the queue')))
    return shed !== undefined
  }

  /** When half of the present queue will have been served. */
  private get retryAfterMs (): number {
    return Math.round(Math.max(RETRY_AFTER_MS, computeWait(this.queue.length, this.limits.slots, this.averageServiceMs) / 2))
  }

  private acquireSlot (): Permit {
    this.used += 1
    const startedAt = this.clock.monotonic()
    let released = false
    return {
      release: () => {
        if (released) return
        released = true
        this.averageServiceMs += SAMPLE_SHARE * (this.clock.monotonic() - startedAt - this.averageServiceMs)
        this.used -= 1
        this.admitNext()
      }
    }
  }

  private admitNext (): void {
    while (this.used < this.limits.slots) {
      const next = this.queue.removeNext()
      if (next === undefined) return
      next.settle(Ok(this.acquireSlot()))
    }
  }

  private async waitForSlot (routeClass: RouteClass, waitMs: number, signal: AbortSignal): Promise<Result<Permit, Failure>> {
    const ended = new AbortController()
    return await new Promise(resolve => {
      const waiter: QueuedRequest = {
        routeClass,
        settle: result => {
          ended.abort()
          resolve(result)
        }
      }
      const giveUp = (): void => {
        if (!this.queue.remove(waiter)) return
        waiter.settle(Err(makeFailure('not-run', 504, 'deadline_in_queue', 'the deadline passed before a slot was free', this.retryAfterMs)))
      }
      this.queue.push(waiter)
      signal.addEventListener('abort', giveUp, { once: true, signal: ended.signal })
      this.clock.sleep(waitMs, ended.signal).then(giveUp, giveUp)
      if (signal.aborted) giveUp()
    })
  }
}

function makeShedFailure (reason: string): Failure {
  return makeFailure('not-run', 503, 'shed', reason, RETRY_AFTER_MS)
}
