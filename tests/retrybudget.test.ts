/**
 * Guards against repeats above the budget that all nodes share: in any window, arrivals at the targets of a service beyond the first of
 * each request, and calls that repeated runs make to it, stay within a share of its requests and a fixed extra.
 */
import { expect, test } from '@jest/globals'
import { SharedBudgetRetryPolicy } from '../src/request/index.js'
import type { RunOrigin } from '../src/request/schema.js'
import { measureExcess } from '../standins/soak/repeats.js'
import { makeClock } from './fixtures/clock.js'
import { makeRejection, simulateRepeats } from './fixtures/repeats.js'
import type { RepeatLoad } from './fixtures/repeats.js'

const BUDGET = { ratio: 0.2, extra: 62, windowMs: 10_000 }

const REPEAT: RunOrigin = { isRepeat: true, repeatShare: 1 }

function makeLoad (change: Partial<RepeatLoad> = {}): RepeatLoad {
  return { budget: BUDGET, nodesPerService: 7, deskCallsPerSecond: 150, callsPerRun: 2, rejectedShare: () => 0.5, seconds: 40, ...change }
}

test.each([
  ['each run makes two calls', { callsPerRun: 2 }],
  ['each run makes six calls', { callsPerRun: 6 }],
  ['few calls and many made by each run', { callsPerRun: 6, deskCallsPerSecond: 20 }],
  ['only the requests whose runs make calls are repeated', { plainShare: 0.8, callsPerRun: 6 }],
  ['rejections begin at once and end again', { rejectedShare: (second: number) => second % 20 < 8 ? 0 : 0.7 }]
])('second attempts and the calls of repeated runs stay within the budget together (%s)', (_, change) => {
  const { desk, gallery } = simulateRepeats(makeLoad(change))
  expect(desk.repeats.length).toBeGreaterThan(0)
  expect(measureExcess(desk, BUDGET)).toBeLessThanOrEqual(0)
  expect(measureExcess(gallery, BUDGET)).toBeLessThanOrEqual(0)
})

test('nodes that start again do not spend the extra a second time within a window', () => {
  const { desk, gallery } = simulateRepeats(makeLoad({ deskCallsPerSecond: 30, callsPerRun: 0, rejectedShare: () => 0.8, restarts: [12, 15, 18] }))
  expect(measureExcess(desk, BUDGET)).toBeLessThanOrEqual(0)
  expect(measureExcess(gallery, BUDGET)).toBeLessThanOrEqual(0)
})

test('a node that knows fewer others than before takes no larger part of the extra', () => {
  const clock = makeClock()
  let known = 14
  const policy = new SharedBudgetRetryPolicy(BUDGET, () => known, clock)
  clock.advance(60_000)
  policy.countCall('desk', false)
  clock.advance(60_000)
  known = 2
  const decisions = Array.from({ length: 50 }, () => policy.decide(makeRejection()))
  expect(decisions.filter(decision => typeof decision === 'number').length).toBeLessThanOrEqual(BUDGET.extra / 14)
})

/** Otherwise the calls that a long run makes late, and those of the next repeated runs, come within one window. */
test('the calls of a repeated run use the budget until a window after its end', () => {
  const clock = makeClock()
  const policy = new SharedBudgetRetryPolicy({ ...BUDGET, ratio: 0 }, () => 1, clock)
  const admitRepeat = (): (() => void) | undefined => policy.admitRun(REPEAT, [{ service: 'gallery', calls: 1 }])
  clock.advance(60_000)
  const ends: Array<() => void> = []
  for (let end = admitRepeat(); end !== undefined; end = admitRepeat()) ends.push(end)
  clock.advance(6_000)
  for (const end of ends) end()
  clock.advance(6_000)
  expect(admitRepeat()).toBeUndefined()
  clock.advance(6_000)
  expect(admitRepeat()).toBeDefined()
})
