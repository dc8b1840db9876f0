/**
 * A target never runs more requests than it has slots, a queued request ends by its deadline, the lowest class is
 * shed first, and no class is queued forever. Guards against a slot that is counted twice or never released, starvation
 * of a class, limits that stay in effect after their document changed, and retries that amplify an overload.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { Failure, Result } from '../../src/core/index.js'
import { SeededRandom } from '../../src/core/index.js'
import type { RouteClass } from '../../src/document/index.js'
import { BudgetRetryPolicy, SlotLimiter } from '../../src/request/index.js'
import type { Permit } from '../../src/request/index.js'
import { makeClock } from '../fixtures/clock.js'
import type { ManualClock } from '../fixtures/clock.js'
import { readPropertyParameters } from '../fixtures/property.js'

const RUNS = 300
const CLASSES: readonly RouteClass[] = ['bulk', 'normal', 'critical']

interface Call {
  routeClass: RouteClass
  deadlineAt: number
  abort: AbortController
  result: Result<Permit, Failure> | undefined
  isReleased: boolean
}

/** The limits that the slot limiter should enforce; the checks count the calls alone. */
interface Model { slots: number, queue: number }

interface Real { clock: ManualClock, limiter: SlotLimiter, calls: Call[] }

async function settle (): Promise<void> {
  for (let turn = 0; turn < 6; turn += 1) await Promise.resolve()
}

function listRunning ({ calls }: Real): Call[] {
  return calls.filter(call => call.result?.ok === true && !call.isReleased)
}

function listQueued ({ calls }: Real): Call[] {
  return calls.filter(call => call.result === undefined)
}

function check (model: Model, real: Real, wasOverLimit: boolean): void {
  const running = listRunning(real)
  const queued = listQueued(real)
  expect(real.limiter.usedSlots).toBe(running.length)
  if (!wasOverLimit) expect(running.length).toBeLessThanOrEqual(model.slots)
  expect(queued.length).toBeLessThanOrEqual(model.queue)
  if (queued.length > 0) expect(running.length).toBeGreaterThanOrEqual(model.slots)
  for (const call of queued) expect(call.deadlineAt).toBeGreaterThan(real.clock.monotonic())
  for (const { result } of real.calls) if (result?.err === true) expect(result.val.verdict).toBe('not-run')
}

abstract class LimiterCommand implements fc.AsyncCommand<Model, Real> {
  check (): boolean {
    return true
  }

  async run (model: Model, real: Real): Promise<void> {
    const wasOverLimit = listRunning(real).length > model.slots
    await this.act(model, real)
    await settle()
    check(model, real, wasOverLimit || listRunning(real).length > model.slots)
  }

  abstract act (model: Model, real: Real): Promise<void> | void
  abstract toString (): string
}

class Arrive extends LimiterCommand {
  constructor (private readonly routeClass: RouteClass, private readonly waitMs: number) { super() }

  async act (model: Model, real: Real): Promise<void> {
    const { limiter, clock, calls } = real
    const previouslyQueued = listQueued(real)
    const deadlineAt = clock.monotonic() + this.waitMs
    const call: Call = { routeClass: this.routeClass, deadlineAt, abort: new AbortController(), result: undefined, isReleased: false }
    const wasFull = listRunning(real).length >= model.slots && previouslyQueued.length >= model.queue
    calls.push(call)
    void limiter.acquire(this.routeClass, this.waitMs, call.abort.signal).then(result => { call.result = result })
    await settle()
    if (!wasFull) {
      expect(call.result?.err).not.toBe(true)
      return
    }
    // The rejected call is of the lowest class among the queued calls and the new one.
    const rejected = [...previouslyQueued, call].filter(candidate => candidate.result?.err === true)
    const lowestClass = Math.min(...[...previouslyQueued, call].map(candidate => CLASSES.indexOf(candidate.routeClass)))
    expect(rejected.map(candidate => CLASSES.indexOf(candidate.routeClass))).toEqual([lowestClass])
  }

  toString (): string { return `arrive(${this.routeClass}, ${this.waitMs})` }
}

class Release extends LimiterCommand {
  constructor (private readonly at: number) { super() }

  act (_: Model, real: Real): void {
    const running = listRunning(real)
    const call = running[this.at % Math.max(1, running.length)]
    if (call?.result?.ok !== true) return
    call.isReleased = true
    call.result.val.release()
    call.result.val.release()
  }

  toString (): string { return `release(${this.at})` }
}

class Disconnect extends LimiterCommand {
  constructor (private readonly at: number) { super() }

  act (_: Model, real: Real): void {
    const queued = listQueued(real)
    queued[this.at % Math.max(1, queued.length)]?.abort.abort()
  }

  toString (): string { return `leave(${this.at})` }
}

class AdvanceClock extends LimiterCommand {
  constructor (private readonly ms: number) { super() }

  act (_: Model, { clock }: Real): void { clock.advance(this.ms) }

  toString (): string { return `pass(${this.ms})` }
}

class ChangeLimits extends LimiterCommand {
  constructor (private readonly slots: number, private readonly queue: number) { super() }

  act (model: Model, { limiter }: Real): void {
    Object.assign(model, { slots: this.slots, queue: this.queue })
    limiter.resize({ slots: this.slots, queue: this.queue })
  }

  toString (): string { return `change(${this.slots}, ${this.queue})` }
}

const commands = fc.commands([
  fc.tuple(fc.constantFrom(...CLASSES), fc.integer({ min: 1, max: 50 })).map(([routeClass, ms]) => new Arrive(routeClass, ms)),
  fc.tuple(fc.constantFrom(...CLASSES), fc.integer({ min: 1, max: 50 })).map(([routeClass, ms]) => new Arrive(routeClass, ms)),
  fc.nat({ max: 20 }).map(at => new Release(at)),
  fc.nat({ max: 20 }).map(at => new Disconnect(at)),
  fc.integer({ min: 1, max: 30 }).map(ms => new AdvanceClock(ms)),
  fc.tuple(fc.integer({ min: 1, max: 5 }), fc.nat({ max: 6 })).map(([slots, queue]) => new ChangeLimits(slots, queue))
], { maxCommands: 60, size: '+1' })

describe('the slot limiter of a target', () => {
  test('keeps its limits in any order of arrivals, releases, timeouts and changed limits', async () => {
    await fc.assert(fc.asyncProperty(commands, async steps => {
      const clock = makeClock()
      const limits = { slots: 1, queue: 3 }
      await fc.asyncModelRun(() => ({ model: { ...limits }, real: { clock, limiter: new SlotLimiter(limits, clock), calls: [] } }), steps)
    }), readPropertyParameters(RUNS))
  })

  test('serves queued requests of all classes 8:4:1, the lowest class too', async () => {
    const clock = makeClock()
    const limiter = new SlotLimiter({ slots: 1, queue: 600 }, clock)
    const served: RouteClass[] = []
    const first = await limiter.acquire('normal', 1000, new AbortController().signal)
    for (const routeClass of CLASSES) {
      for (let number = 0; number < 200; number += 1) {
        void limiter.acquire(routeClass, 1000, new AbortController().signal).then(result => {
          served.push(routeClass)
          if (result.ok) result.val.release()
        })
      }
    }
    first.unwrap().release()
    for (let turn = 0; turn < 1_000; turn += 1) await settle()
    const countClass = (routeClass: RouteClass): number => served.slice(0, 130).filter(servedClass => servedClass === routeClass).length
    expect({ critical: countClass('critical'), normal: countClass('normal'), bulk: countClass('bulk') }).toEqual({ critical: 80, normal: 40, bulk: 10 })
  })
})

/** Counts by whole seconds, as the retry budget does: the current second and those before it. */
function countInLastSeconds (times: readonly number[], clock: ManualClock, seconds: number): number {
  const second = Math.floor(clock.monotonic() / 1000)
  return times.filter(at => second - Math.floor(at / 1000) < seconds).length
}

describe('the retry budget', () => {
  test('limits retries to a share of the calls of the last ten seconds, or to a minimum per second', () => {
    const step = fc.record({ calls: fc.nat({ max: 30 }), failures: fc.nat({ max: 60 }), ms: fc.nat({ max: 3_000 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), fc.nat({ max: 50 }), fc.nat({ max: 5 }), (steps, budgetPercent, minPerSecond) => {
      const clock = makeClock()
      const policy = new BudgetRetryPolicy(clock, new SeededRandom(1))
      const calls: number[] = []
      const retries: number[] = []
      for (const { calls: arrivedCalls, failures, ms } of steps) {
        for (let number = 0; number < arrivedCalls; number += 1) {
          policy.countCall('desk')
          calls.push(clock.monotonic())
        }
        for (let number = 0; number < failures; number += 1) {
          const failure = { verdict: 'not-run', status: 503, code: 'x', message: '' } as const
          const decision = policy.decide({
            service: 'desk', kind: 'plain', retries: { attempts: 3, budgetPercent, minPerSecond }, failure, attempt: 1, reached: 0, attempts: 3, leftMs: 1000, canResend: true
          })
          if (typeof decision !== 'number') continue
          retries.push(clock.monotonic())
          const isWithinShare = countInLastSeconds(retries, clock, 10) <= countInLastSeconds(calls, clock, 10) * budgetPercent / 100
          expect(isWithinShare || countInLastSeconds(retries, clock, 1) <= minPerSecond).toBe(true)
        }
        clock.advance(ms)
      }
    }), readPropertyParameters(RUNS))
  })
})
