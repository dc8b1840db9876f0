/**
 * A target never runs more requests than it has slots, a request that waits ends by its deadline, the
 * lowest class is shed first, and no class waits forever. Guards against a slot counted twice or lost,
 * a class that starves, limits that hold on after their document changed, and retries that feed an overload.
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

interface Call { routeClass: RouteClass, until: number, abort: AbortController, result: Result<Permit, Failure> | undefined, released: boolean }

/** What the gate should hold, kept by counting alone. */
interface Model { slots: number, queue: number }

interface Real { clock: ManualClock, gate: SlotLimiter, calls: Call[] }

async function settle (): Promise<void> {
  for (let turn = 0; turn < 6; turn += 1) await Promise.resolve()
}

function listRunning ({ calls }: Real): Call[] {
  return calls.filter(call => call.result?.ok === true && !call.released)
}

function listWaiting ({ calls }: Real): Call[] {
  return calls.filter(call => call.result === undefined)
}

function check (model: Model, real: Real, wasAbove: boolean): void {
  const running = listRunning(real)
  const waiting = listWaiting(real)
  expect(real.gate.usedSlots).toBe(running.length)
  if (!wasAbove) expect(running.length).toBeLessThanOrEqual(model.slots)
  expect(waiting.length).toBeLessThanOrEqual(model.queue)
  if (waiting.length > 0) expect(running.length).toBeGreaterThanOrEqual(model.slots)
  for (const call of waiting) expect(call.until).toBeGreaterThan(real.clock.monotonic())
  for (const { result } of real.calls) if (result?.err === true) expect(result.val.verdict).toBe('not-run')
}

abstract class GateCommand implements fc.AsyncCommand<Model, Real> {
  check (): boolean {
    return true
  }

  async run (model: Model, real: Real): Promise<void> {
    const wasAbove = listRunning(real).length > model.slots
    await this.act(model, real)
    await settle()
    check(model, real, wasAbove || listRunning(real).length > model.slots)
  }

  abstract act (model: Model, real: Real): Promise<void> | void
  abstract toString (): string
}

class Arrive extends GateCommand {
  constructor (private readonly routeClass: RouteClass, private readonly waitMs: number) { super() }

  async act (model: Model, real: Real): Promise<void> {
    const { gate, clock, calls } = real
    const before = listWaiting(real)
    const until = clock.monotonic() + this.waitMs
    const call: Call = { routeClass: this.routeClass, until, abort: new AbortController(), result: undefined, released: false }
    const wasFull = listRunning(real).length >= model.slots && before.length >= model.queue
    calls.push(call)
    void gate.acquire(this.routeClass, this.waitMs, call.abort.signal).then(result => { call.result = result })
    await settle()
    if (!wasFull) {
      expect(call.result?.err).not.toBe(true)
      return
    }
    // Whoever had to go is of the lowest class of all who waited and came.
    const gone = [...before, call].filter(one => one.result?.err === true)
    const lowest = Math.min(...[...before, call].map(one => CLASSES.indexOf(one.routeClass)))
    expect(gone.map(one => CLASSES.indexOf(one.routeClass))).toEqual([lowest])
  }

  toString (): string { return `arrive(${this.routeClass}, ${this.waitMs})` }
}

class Release extends GateCommand {
  constructor (private readonly at: number) { super() }

  act (_: Model, real: Real): void {
    const running = listRunning(real)
    const call = running[this.at % Math.max(1, running.length)]
    if (call?.result?.ok !== true) return
    call.released = true
    call.result.val.release()
    call.result.val.release()
  }

  toString (): string { return `release(${this.at})` }
}

class Leave extends GateCommand {
  constructor (private readonly at: number) { super() }

  act (_: Model, real: Real): void {
    const waiting = listWaiting(real)
    waiting[this.at % Math.max(1, waiting.length)]?.abort.abort()
  }

  toString (): string { return `leave(${this.at})` }
}

class Pass extends GateCommand {
  constructor (private readonly ms: number) { super() }

  act (_: Model, { clock }: Real): void { clock.advance(this.ms) }

  toString (): string { return `pass(${this.ms})` }
}

class Change extends GateCommand {
  constructor (private readonly slots: number, private readonly queue: number) { super() }

  act (model: Model, { gate }: Real): void {
    Object.assign(model, { slots: this.slots, queue: this.queue })
    gate.resize({ slots: this.slots, queue: this.queue })
  }

  toString (): string { return `change(${this.slots}, ${this.queue})` }
}

const commands = fc.commands([
  fc.tuple(fc.constantFrom(...CLASSES), fc.integer({ min: 1, max: 50 })).map(([routeClass, ms]) => new Arrive(routeClass, ms)),
  fc.tuple(fc.constantFrom(...CLASSES), fc.integer({ min: 1, max: 50 })).map(([routeClass, ms]) => new Arrive(routeClass, ms)),
  fc.nat({ max: 20 }).map(at => new Release(at)),
  fc.nat({ max: 20 }).map(at => new Leave(at)),
  fc.integer({ min: 1, max: 30 }).map(ms => new Pass(ms)),
  fc.tuple(fc.integer({ min: 1, max: 5 }), fc.nat({ max: 6 })).map(([slots, queue]) => new Change(slots, queue))
], { maxCommands: 60, size: '+1' })

describe('slots of a target', () => {
  test('hold in any order of arrivals, ends, timeouts and changed limits', async () => {
    await fc.assert(fc.asyncProperty(commands, async list => {
      const clock = makeClock()
      const limits = { slots: 1, queue: 3 }
      await fc.asyncModelRun(() => ({ model: { ...limits }, real: { clock, gate: new SlotLimiter(limits, clock), calls: [] } }), list)
    }), readPropertyParameters(RUNS))
  })

  test('classes that all wait are served 8:4:1, the lowest too', async () => {
    const clock = makeClock()
    const gate = new SlotLimiter({ slots: 1, queue: 600 }, clock)
    const served: RouteClass[] = []
    const first = await gate.acquire('normal', 1000, new AbortController().signal)
    for (const routeClass of CLASSES) {
      for (let number = 0; number < 200; number += 1) {
        void gate.acquire(routeClass, 1000, new AbortController().signal).then(result => {
          served.push(routeClass)
          if (result.ok) result.val.release()
        })
      }
    }
    first.unwrap().release()
    for (let turn = 0; turn < 1_000; turn += 1) await settle()
    const countClass = (routeClass: RouteClass): number => served.slice(0, 130).filter(one => one === routeClass).length
    expect({ critical: countClass('critical'), normal: countClass('normal'), bulk: countClass('bulk') }).toEqual({ critical: 80, normal: 40, bulk: 10 })
  })
})

/** The budget counts by whole seconds: the present one and those before it. */
function count (times: readonly number[], clock: ManualClock, seconds: number): number {
  const second = Math.floor(clock.monotonic() / 1000)
  return times.filter(at => second - Math.floor(at / 1000) < seconds).length
}

describe('the retry budget', () => {
  test('bounds retries to the share of calls and the floor in every ten seconds', () => {
    const step = fc.record({ calls: fc.nat({ max: 30 }), failures: fc.nat({ max: 60 }), ms: fc.nat({ max: 3_000 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), fc.nat({ max: 50 }), fc.nat({ max: 5 }), (steps, budgetPercent, minPerSecond) => {
      const clock = makeClock()
      const policy = new BudgetRetryPolicy(clock, new SeededRandom(1))
      const calls: number[] = []
      const retries: number[] = []
      for (const { calls: arrived, failures, ms } of steps) {
        for (let number = 0; number < arrived; number += 1) {
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
          const isInShare = count(retries, clock, 10) <= count(calls, clock, 10) * budgetPercent / 100
          expect(isInShare || count(retries, clock, 1) <= minPerSecond).toBe(true)
        }
        clock.advance(ms)
      }
    }), readPropertyParameters(RUNS))
  })
})
