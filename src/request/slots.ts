/**
 * Limits the concurrent requests of one target to its slots, with a short queue in front of them. Runs on the node of the target's host.
 */
import { Err, Ok, makeFailure } from '../core/index.js'
import type { Clock, Failure, Result } from '../core/index.js'
import type { RouteClass } from '../document/index.js'
import { computeWait, DeadlineAdmissionPolicy } from './admission.js'
import type { AdmissionPolicy } from './admission.js'
import type { TargetLoad } from './load.js'
import { WeightedFairQueue } from './queue.js'
import type { RequestNeed } from './workcontrol.js'

const RETRY_AFTER_MS = 100
/** Weight of a new sample in the moving average of the service time. */
const SAMPLE_SHARE = 0.1

export interface Permit {
  /** `isServed` is true if the target responded, and not with a server error. */
  release: (isServed?: boolean) => void
  /** The time for which the request used its slot, once that is known. */
  readonly serviceMs?: number | undefined
}

export interface SlotLimits { slots: number, queue: number }

interface QueuedRequest { routeClass: RouteClass, settle: (result: Result<Permit, Failure>) => void }

export class SlotLimiter {
  protected used = 0
  /** Moving average of the time for which a request uses its slot. */
  private averageServiceMs = 0
  private readonly queue = new WeightedFairQueue<QueuedRequest>()

  constructor (
    protected limits: SlotLimits, protected readonly clock: Clock, private readonly admission: AdmissionPolicy = new DeadlineAdmissionPolicy()
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

  /** Commands only: for a change of the announcement or the document. Requests in flight beyond the new limits continue. */
  resize (limits: SlotLimits): void {
    this.limits = limits
    while (this.queue.length > limits.queue) this.queue.removeLowest()?.settle(Err(makeShedFailure('the queue limit was reduced')))
    this.admitNext()
  }

  /** `need` is what the request needs, for limiters that decide by it. */
  async acquire (
    routeClass: RouteClass, leftMs: number, signal: AbortSignal, objectiveMs = Infinity, _need?: RequestNeed
  ): Promise<Result<Permit, Failure>> {
    if (this.used < this.limits.slots) return Ok(this.acquireSlot())
    const waitMs = this.admission.computeMaxWait({ leftMs, objectiveMs, serviceMs: this.averageServiceMs })
    const { slots } = this.limits
    const reason = this.admission.findRejectionReason({ ahead: this.queue.countAhead(routeClass), slots, serviceMs: this.averageServiceMs, waitMs })
    if (reason !== undefined) return Err(makeFailure('not-run', 503, 'no_time', reason, this.retryAfterMs))
    if (this.queue.length >= this.limits.queue && !this.shedBelow(routeClass)) {
      return Err(makeFailure('not-run', 503, 'queue_full', 'the target has no free slot and its queue is full', this.retryAfterMs))
    }
    return await this.waitForSlot(routeClass, waitMs, signal)
  }

  /** Rejects all queued requests, since a target that is no longer available frees no slot for them. */
  close (): void {
    while (this.queue.length > 0) this.queue.removeLowest()?.settle(Err(makeUnavailableFailure()))
  }

  private shedBelow (routeClass: RouteClass): boolean {
    const removed = this.queue.removeBelow(routeClass)
    removed?.settle(Err(makeShedFailure('a request of a higher class replaced this one in the queue')))
    return removed !== undefined
  }

  /** The expected time until half of the current queue has been served. */
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

  protected admitNext (): void {
    while (this.used < this.limits.slots) {
      const next = this.queue.removeNext()
      if (next === undefined) return
      next.settle(Ok(this.acquireSlot()))
    }
  }

  private async waitForSlot (routeClass: RouteClass, waitMs: number, signal: AbortSignal): Promise<Result<Permit, Failure>> {
    const ended = new AbortController()
    return await new Promise(resolve => {
      const queued: QueuedRequest = {
        routeClass,
        settle: result => {
          ended.abort()
          resolve(result)
        }
      }
      const giveUp = (): void => {
        if (!this.queue.remove(queued)) return
        queued.settle(Err(makeFailure('not-run', 504, 'deadline_in_queue', 'the deadline passed before a slot became free', this.retryAfterMs)))
      }
      this.queue.push(queued)
      signal.addEventListener('abort', giveUp, { once: true, signal: ended.signal })
      this.clock.sleep(waitMs, ended.signal).then(giveUp, giveUp)
      if (signal.aborted) giveUp()
    })
  }
}

export function makeUnavailableFailure (): Failure {
  return makeFailure('not-run', 503, 'no_target', 'the target is unavailable', RETRY_AFTER_MS)
}

export function makeShedFailure (reason: string): Failure {
  return makeFailure('not-run', 503, 'shed', reason, RETRY_AFTER_MS)
}
