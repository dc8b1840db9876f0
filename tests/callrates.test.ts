/**
 * Guards against calls that count for runs which do not make them. Runs of several kinds are in flight at a time, and a call names none of
 * them; a repeat of a kind that makes many calls would be charged with too few.
 */
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import { CallRates } from '../src/request/callrates.js'
import { makeClock } from './fixtures/clock.js'

/** 40 s, several times the window of the estimate. */
const STEPS = 10_000
const STEP_MS = 4
const CALLS_PER_RUN = 6
/** The retry budget keeps this share for errors of the estimate. */
const TOLERANCE = 0.2

/** In each step three runs are in flight. Each of them that is of the calling kind makes its calls. */
function recordSteps (rates: CallRates, clock: ReturnType<typeof makeClock>, callingShare: number): void {
  const random = new SeededRandom(5)
  for (let step = 0; step < STEPS; step += 1) {
    const kinds = Array.from({ length: 3 }, () => random.next() < callingShare ? 'calling' : 'plain')
    for (const kind of kinds) rates.recordRun(kind)
    const calls = CALLS_PER_RUN * kinds.filter(kind => kind === 'calling').length
    for (let call = 0; call < calls; call += 1) rates.recordCall('gallery', kinds)
    clock.advance(STEP_MS)
  }
}

function readExpectedCalls (rates: CallRates, kind: string): number {
  return rates.listExpectedCalls(kind).find(({ service }) => service === 'gallery')?.calls ?? 0
}

test.each([0.1, 0.5, 0.9])('a run of the kind that makes the calls is expected to make them, and one of another kind hardly any (%s of the runs)', callingShare => {
  const clock = makeClock()
  const rates = new CallRates(clock)
  recordSteps(rates, clock, callingShare)
  expect(readExpectedCalls(rates, 'calling')).toBeGreaterThan((1 - TOLERANCE) * CALLS_PER_RUN)
  expect(readExpectedCalls(rates, 'calling')).toBeLessThan((1 + TOLERANCE) * CALLS_PER_RUN)
  expect(readExpectedCalls(rates, 'plain')).toBeLessThan(TOLERANCE * CALLS_PER_RUN)
})

test('a run of a kind that was not seen lately is expected to make the average calls of all kinds', () => {
  const clock = makeClock()
  const rates = new CallRates(clock)
  recordSteps(rates, clock, 0.5)
  expect(readExpectedCalls(rates, 'new')).toBeCloseTo(CALLS_PER_RUN / 2, 0)
  clock.advance(60_000)
  expect(readExpectedCalls(rates, 'calling')).toBe(0)
})
