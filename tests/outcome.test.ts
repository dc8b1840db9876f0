/**
 * Guards against a slow target that keeps its work because the calls which it does not answer in time are not counted, and against
 * callers that leave early and make a sound target look slow.
 */
import { expect, test } from '@jest/globals'
import { makeFailure, SeededRandom } from '../src/core/index.js'
import type { Target } from '../src/membership/index.js'
import { LeastDelayPicker } from '../src/request/index.js'
import { deriveFailureOutcome } from '../src/request/queries/outcome.js'
import type { EndedAttempt } from '../src/request/queries/outcome.js'
import { makeClock } from './fixtures/clock.js'
import { makeTarget } from './fixtures/target.js'

const ROUTE = { deadlineMs: 2_500, objectiveMs: 195 }
const DEADLINE = makeFailure('may-have-run', 504, 'deadline', 'no response in time')

function derive (change: Partial<EndedAttempt>): string {
  return deriveFailureOutcome({ failure: DEADLINE, isCallerDisconnected: false, callDeadlineMs: 500, route: ROUTE, elapsedMs: 100, ...change })
}

test('a call that ends by the deadline of its caller counts against the target once its objective has passed', () => {
  expect(derive({ elapsedMs: 190 })).toBe('cancelled')
  expect(derive({ elapsedMs: 400 })).toBe('failed')
  expect(derive({ elapsedMs: 190, isCallerDisconnected: true })).toBe('cancelled')
  expect(derive({ elapsedMs: 400, isCallerDisconnected: true })).toBe('failed')
})

test('a call of a route without an objective that its caller ends says nothing about the target', () => {
  expect(derive({ elapsedMs: 400, route: { deadlineMs: 2_500 } })).toBe('cancelled')
})

test('a call that ends by the deadline of its route counts against the target, and a rejection as such', () => {
  expect(derive({ callDeadlineMs: undefined })).toBe('failed')
  expect(derive({ failure: makeFailure('not-run', 504, 'deadline_in_queue', 'no slot in time'), elapsedMs: 400 })).toBe('refused')
})

test('short calls leave a near target that answers none of them in time', () => {
  const clock = makeClock()
  const picker = new LeastDelayPicker({ host: 'h0', zone: 'a', region: 'r' }, clock, new SeededRandom(1))
  const [slow, sound] = ['h1', 'h2'].map(host => makeTarget({ host, zone: 'a', region: 'r' }))
  if (slow === undefined || sound === undefined) throw new Error('two targets are expected')
  let sentToSlow = 0
  for (let call = 0; call < 50; call += 1) {
    const target: Target = picker.pick({ targets: [slow, sound], tried: new Set(), needsFreeSlot: false, zones: 'same-first' }) ?? sound
    picker.beginAttempt(target)
    clock.advance(20)
    if (target === sound) picker.endAttempt(target, 60, 'answered')
    else picker.endAttempt(target, 500, deriveFailureOutcome({ failure: DEADLINE, isCallerDisconnected: false, callDeadlineMs: 500, route: ROUTE, elapsedMs: 500 }), 'deadline')
    sentToSlow += target === slow ? 1 : 0
  }
  expect(sentToSlow).toBeLessThan(5)
})

test.each(['queue_full', 'shed', 'no_time', 'deadline_in_queue', 'target_refused'])('a rejection for lack of room (%s) is no failure of the target', code => {
  expect(derive({ failure: makeFailure('not-run', 503, code, 'no room'), callDeadlineMs: undefined })).toBe('refused')
})
