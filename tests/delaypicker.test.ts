/**
 * Guards against calls that are sent to the wrong targets: near targets that are full, targets that fail or are unreachable, and far
 * targets, to which bytes are billed, while near targets have free slots.
 */
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import { LeastDelayPicker, SharedBudgetRetryPolicy } from '../src/request/index.js'
import { makeClock } from './fixtures/clock.js'
import { runSaturation } from './fixtures/saturation.js'
import { makeTarget } from './fixtures/target.js'

const PLACE = { host: 'h0', zone: 'a', region: 'r' }
const NEAR = makeTarget({ host: 'h1', zone: 'a', region: 'r' })
const REGION = makeTarget({ host: 'h2', zone: 'b', region: 'r' })
const FAR = makeTarget({ host: 'h3', zone: 'c', region: 's' })
const TARGETS = [FAR, REGION, NEAR]

function makePicker () {
  const clock = makeClock()
  const picker = new LeastDelayPicker(PLACE, clock, new SeededRandom(1))
  const pick = (tried: ReadonlySet<string> = new Set(), bytes = 0) =>
    picker.pick({ targets: TARGETS, tried, needsFreeSlot: tried.size > 0, zones: 'same-first', bytes })
  return { clock, picker, pick }
}

test('a near target is picked while it has free slots', () => {
  const { pick } = makePicker()
  expect(Array.from({ length: 20 }, () => pick()?.host)).toEqual(new Array(20).fill('h1'))
})

test('when the near target is full, calls go to the next nearest one', () => {
  const { picker, pick } = makePicker()
  picker.recordLoad(NEAR, { used: 6, waiting: 12, slots: 6, freeInMs: 0 })
  expect(pick()?.host).toBe('h2')
  picker.recordLoad(REGION, { used: 6, waiting: 24, slots: 6, freeInMs: 0 })
  expect(pick()?.host).toBe('h3')
})

test('a call goes to a free target in another zone of the region instead of waiting for one near by', () => {
  const { picker, pick } = makePicker()
  picker.recordLoad(NEAR, { used: 6, waiting: 3, slots: 6, freeInMs: 0 })
  expect(Array.from({ length: 20 }, () => pick()?.host)).toEqual(new Array(20).fill('h2'))
})

test('the load of the target on the own host is that of the moment', () => {
  const { picker } = makePicker()
  const own = makeTarget({ host: 'h0', zone: 'a', region: 'r' })
  const pickWith = (used: number, waiting: number) => picker.pick({
    targets: [own, NEAR], tried: new Set(), needsFreeSlot: false, zones: 'same-first', measureLocalLoad: () => ({ used, waiting, slots: 6, freeInMs: 0 })
  })
  expect(pickWith(6, 12)?.host).toBe('h1')
  expect(pickWith(0, 0)?.host).toBe('h0')
})

test('a large body is sent to another region only for a longer wait', () => {
  const { picker, pick } = makePicker()
  for (const target of [NEAR, REGION]) picker.recordLoad(target, { used: 6, waiting: 20, slots: 6, freeInMs: 0 })
  expect(pick()?.host).toBe('h3')
  expect(pick(new Set(), 200_000)?.host).toBe('h1')
})

test('a target that fails is not picked, and picked again after a while', () => {
  const { clock, picker, pick } = makePicker()
  for (let number = 0; number < 10; number += 1) {
    picker.beginAttempt(NEAR)
    picker.endAttempt(NEAR, 5, 'failed', 'target_failed')
  }
  expect(pick()?.host).toBe('h2')
  clock.advance(20_000)
  expect(pick()?.host).toBe('h1')
})

test('an unreachable target is not picked after one failure', () => {
  const { picker, pick } = makePicker()
  picker.beginAttempt(NEAR)
  picker.endAttempt(NEAR, 5, 'failed', 'not_connected')
  expect(pick()?.host).toBe('h2')
})

test('after a rejection, a target that is known to be full is not picked', () => {
  const { picker, pick } = makePicker()
  for (const target of [REGION, FAR]) picker.recordLoad(target, { used: 6, waiting: 12, slots: 6, freeInMs: 0 })
  expect(pick(new Set([NEAR.id]))).toBeUndefined()
})

test('the parts of the retry budget that the nodes use add up to less than the whole budget', () => {
  const clock = makeClock()
  const budget = { ratio: 0.2, extra: 64, windowMs: 10_000 }
  const nodes = 14
  let retries = 0
  for (let node = 0; node < nodes; node += 1) {
    const policy = new SharedBudgetRetryPolicy(budget, () => nodes, clock)
    for (let call = 0; call < 50; call += 1) {
      policy.countCall('desk', false)
      const failure = { verdict: 'not-run', status: 503, code: 'target_refused', message: '', reached: true } as const
      const question = {
        service: 'desk', kind: 'plain', retries: { attempts: 3, budgetPercent: 0, minPerSecond: 0 }, failure, attempt: 1, reached: 1, attempts: 3, leftMs: 500, canResend: true
      } as const
      if (typeof policy.decide(question) === 'number') retries += 1
    }
  }
  expect(retries).toBeGreaterThan(0)
  expect(retries).toBeLessThanOrEqual(nodes * 50 * budget.ratio + budget.extra)
})

/** The six targets together can serve 180 calls per second, 30 each. 240 calls per second are a third more. */
function saturate (perSecond: number) {
  const clock = makeClock()
  return runSaturation({ clock, makePicker: (place, random) => new LeastDelayPicker(place, clock, random), perSecond, seconds: 20 })
}

test('when all targets are full, calls are rejected near their caller and not sent from region to region', () => {
  const { served, rejectedAcrossRegions, utilization } = saturate(240)
  expect(utilization).toBeGreaterThan(0.95)
  expect(rejectedAcrossRegions / served).toBeLessThan(0.2)
})

test('below saturation nearly all calls are served', () => {
  const { calls, served, rejectedAcrossRegions } = saturate(150)
  expect(served / calls).toBeGreaterThan(0.97)
  expect(rejectedAcrossRegions / served).toBeLessThan(0.05)
})

/** A call to the target on its own host saves the way over another node. */
test('while the target on the own host has free slots, it gets the calls of its node', () => {
  const clock = makeClock()
  const { calls, served, servedLocally } = runSaturation({
    clock, makePicker: (place, random) => new LeastDelayPicker(place, clock, random), perSecond: 430, seconds: 12, targetsPerZone: 4
  })
  expect(served / calls).toBeGreaterThan(0.97)
  expect(servedLocally / served).toBeGreaterThan(0.75)
})

/** Nine targets in each zone: a node hears from few of the 54 targets within the time in which a load report counts. */
test('in a large fleet, a rejected call goes on to a target of unknown load', () => {
  const clock = makeClock()
  const { calls, served, rejectedAcrossRegions, utilization } = runSaturation({
    clock, makePicker: (place, random) => new LeastDelayPicker(place, clock, random), perSecond: 1_620, seconds: 12, targetsPerZone: 9
  })
  expect(served / calls).toBeGreaterThan(0.93)
  expect(utilization).toBeGreaterThan(0.93)
  expect(rejectedAcrossRegions / served).toBeLessThan(0.05)
})
