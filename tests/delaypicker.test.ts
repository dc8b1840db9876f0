/**
 * Guards against load that goes to the wrong targets: near ones that are full, ones that fail or
 * cannot be reached, and far ones that cost billed bytes while near ones are free.
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

test('a near target is taken while it has room', () => {
  const { pick } = makePicker()
  expect(Array.from({ length: 20 }, () => pick()?.host)).toEqual(new Array(20).fill('h1'))
})

test('when the near target is full, work goes farther step by step', () => {
  const { picker, pick } = makePicker()
  picker.recordLoad(NEAR, { used: 6, waiting: 12, slots: 6, freeInMs: 0 })
  expect(pick()?.host).toBe('h2')
  picker.recordLoad(REGION, { used: 6, waiting: 24, slots: 6, freeInMs: 0 })
  expect(pick()?.host).toBe('h3')
})

test('a large body goes far only when the wait is longer', () => {
  const { picker, pick } = makePicker()
  for (const target of [NEAR, REGION]) picker.recordLoad(target, { used: 6, waiting: 20, slots: 6, freeInMs: 0 })
  expect(pick()?.host).toBe('h3')
  expect(pick(new Set(), 200_000)?.host).toBe('h1')
})

test('a target that fails is left out, and tried again after a while', () => {
  const { clock, picker, pick } = makePicker()
  for (let number = 0; number < 10; number += 1) {
    picker.beginAttempt(NEAR)
    picker.endAttempt(NEAR, 5, 'failed', 'target_failed')
  }
  expect(pick()?.host).toBe('h2')
  clock.advance(20_000)
  expect(pick()?.host).toBe('h1')
})

test('a target that cannot be reached is left out at once', () => {
  const { picker, pick } = makePicker()
  picker.beginAttempt(NEAR)
  picker.endAttempt(NEAR, 5, 'failed', 'not_connected')
  expect(pick()?.host).toBe('h2')
})

test('after a refusal a target that is known to be full is not tried', () => {
  const { picker, pick } = makePicker()
  for (const target of [REGION, FAR]) picker.recordLoad(target, { used: 6, waiting: 12, slots: 6, freeInMs: 0 })
  expect(pick(new Set([NEAR.id]))).toBeUndefined()
})

test('the nodes\' parts of the retry budget add up to less than the whole', () => {
  const clock = makeClock()
  const budget = { ratio: 0.2, extra: 64, windowMs: 10_000 }
  const nodes = 14
  let retries = 0
  for (let node = 0; node < nodes; node += 1) {
    const policy = new SharedBudgetRetryPolicy(budget, () => nodes, clock)
    for (let call = 0; call < 50; call += 1) {
      policy.countCall('desk')
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

/** 30 calls a second for each 30 that the targets can do, and a third more. */
function saturate (perSecond: number) {
  const clock = makeClock()
  return runSaturation({ clock, makePicker: (place, random) => new LeastDelayPicker(place, clock, random), perSecond, seconds: 20 })
}

test('when all targets are full, calls are refused near by and not sent from region to region', () => {
  const { served, rejectedAcrossRegions: wastedFar, utilization } = saturate(240)
  expect(utilization).toBeGreaterThan(0.95)
  expect(wastedFar / served).toBeLessThan(0.2)
})

test('below saturation nearly all calls are served', () => {
  const { calls, served, rejectedAcrossRegions: wastedFar } = saturate(150)
  expect(served / calls).toBeGreaterThan(0.97)
  expect(wastedFar / served).toBeLessThan(0.05)
})
