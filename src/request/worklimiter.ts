/**
 * Limits the concurrent requests of one target to its slots and decides by expected time which requests wait and which are refused.
 * While this is not in force, it is the plain limiter. Runs on the node of the target's host.
 */
import { Err, Ok, makeFailure } from '../core/index.js'
import type { Clock, Failure, Result } from '../core/index.js'
import type { RouteClass } from '../document/index.js'
import type { AdmissionPolicy } from './admission.js'
import type { TargetLoad } from './load.js'
import { makeShedFailure, makeUnavailableFailure, SlotLimiter } from './slots.js'
import type { Permit, SlotLimits } from './slots.js'
import type { RequestNeed, WorkControl } from './workcontrol.js'
import { computeLatestStart, WorkQueue } from './workqueue.js'
import type { WaitingWork } from './workqueue.js'

const MIN_RETRY_AFTER_MS = 100
/** A run that has lasted for its expected time is expected to last for this share of it longer. */
const OVERDUE_SHARE = 0.3

interface QueuedWork extends WaitingWork { need: RequestNeed, settle: (result: Result<Permit, Failure>) => void }

interface Run { startedAt: number, expectedMs: number }

export class WorkLimiter extends SlotLimiter {
  private readonly waiting = new WorkQueue<QueuedWork>()
  private readonly runs = new Set<Run>()

  constructor (
    limits: SlotLimits, clock: Clock, admission: AdmissionPolicy | undefined, private readonly target: string, private readonly control: WorkControl
  ) {
    super(limits, clock, admission)
  }

  override get load (): TargetLoad {
    const load = super.load
    const at = this.clock.monotonic()
    if (!this.control.isInForce) return load
    const { freeAt } = this.waiting.derivePlan(at, this.listSlotTimes(at))
    return { ...load, waiting: load.waiting + this.waiting.length, freeInMs: freeAt - at }
  }

  override get isIdle (): boolean {
    return super.isIdle && this.waiting.length === 0
  }

  override async acquire (
    routeClass: RouteClass, leftMs: number, signal: AbortSignal, objectiveMs = Infinity, need?: RequestNeed
  ): Promise<Result<Permit, Failure>> {
    const at = this.clock.monotonic()
    if (need === undefined || !this.control.isInForce) return await super.acquire(routeClass, leftMs, signal, objectiveMs)
    const expectedMs = this.control.model.computeTime(need, this.target, at)
    // An idle target serves whatever comes: nobody else wants the slot, and only a served request corrects a wrong expectation.
    if (this.used === 0) return Ok(this.acquireWork(need, expectedMs))
    const deadlineAt = at + leftMs
    // A nested call in time is one whose run still waits for it.
    const objectiveAt = need.spentMs > 0 ? deadlineAt : Math.min(deadlineAt, at + objectiveMs)
    return await this.waitForWork({ routeClass, expectedMs, spentMs: need.spentMs, objectiveAt, deadlineAt }, need, signal)
  }

  override close (): void {
    super.close()
    for (const queued of this.waiting.list()) this.endWait(queued, Err(makeUnavailableFailure()))
  }

  /** Requests that already waited when decisions by expected time came into force go first. */
  protected override admitNext (): void {
    super.admitNext()
    const at = this.clock.monotonic()
    const plan = this.waiting.derivePlan(at, this.listSlotTimes(at))
    for (const queued of plan.refused) {
      this.endWait(queued, Err(this.makeTimeFailure('no slot is expected to be free in time for the request', plan.freeAt - at)))
    }
    for (const queued of plan.order) {
      if (this.used >= this.limits.slots) break
      this.waiting.admit(queued)
      queued.settle(Ok(this.acquireWork(queued.need, queued.expectedMs)))
    }
    while (this.waiting.length > this.limits.queue) {
      const least = this.waiting.findLeast()
      if (least === undefined) return
      this.endWait(least, Err(makeShedFailure('other requests replaced this one in the full queue')))
    }
  }

  private endWait (queued: QueuedWork, result: Result<Permit, Failure>): void {
    if (this.waiting.remove(queued)) queued.settle(result)
  }

  private acquireWork (need: RequestNeed, expectedMs: number): Permit {
    const { clock, control: { model }, target } = this
    const startedAt = clock.monotonic()
    const startMachine = model.getMachine(target, startedAt)
    const run = { startedAt, expectedMs }
    this.used += 1
    this.runs.add(run)
    let serviceMs: number | undefined
    const release = (isServed = false): void => {
      if (!this.runs.delete(run)) return
      const at = clock.monotonic()
      const elapsedMs = at - startedAt
      // A request that ended early says nothing about its work, unless it had already taken longer than expected.
      if (isServed || elapsedMs > expectedMs) model.recordTime(need, target, elapsedMs, (startMachine + model.getMachine(target, at)) / 2, at)
      if (isServed) serviceMs = elapsedMs
      this.used -= 1
      this.admitNext()
    }
    return { release, get serviceMs () { return serviceMs } }
  }

  private async waitForWork (work: WaitingWork, need: RequestNeed, signal: AbortSignal): Promise<Result<Permit, Failure>> {
    const ended = new AbortController()
    return await new Promise(resolve => {
      const queued: QueuedWork = {
        ...work,
        need,
        settle: result => {
          ended.abort()
          resolve(result)
        }
      }
      const giveUp = (): void => { this.endWait(queued, Err(this.makeTimeFailure('no slot became free in time for the request', work.expectedMs))) }
      this.waiting.push(queued)
      this.admitNext()
      if (ended.signal.aborted) return
      signal.addEventListener('abort', giveUp, { once: true, signal: ended.signal })
      this.clock.sleep(computeLatestStart(work) - this.clock.monotonic(), ended.signal).then(giveUp, giveUp)
      if (signal.aborted) giveUp()
    })
  }

  /** Returns when each slot is expected to be free. */
  private listSlotTimes (at: number): number[] {
    const running = [...this.runs].map(({ startedAt, expectedMs }) => Math.max(startedAt + expectedMs, at + expectedMs * OVERDUE_SHARE))
    const others = Math.max(0, this.used - running.length)
    const averageMs = running.length === 0 ? MIN_RETRY_AFTER_MS : running.reduce((sum, endsAt) => sum + endsAt - at, 0) / running.length
    const free = Math.max(0, this.limits.slots - this.used)
    return [...running, ...new Array<number>(others).fill(at + averageMs), ...new Array<number>(free).fill(at)]
  }

  private makeTimeFailure (reason: string, freeInMs: number): Failure {
    return makeFailure('not-run', 503, 'no_time', reason, Math.round(Math.max(MIN_RETRY_AFTER_MS, freeInMs)))
  }
}
