/**
 * Guards against picks whose cost grows with the fleet, and against targets of a large service that a node never considers.
 */
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import type { Target } from '../src/membership/index.js'
import { LeastDelayPicker } from '../src/request/index.js'
import { CandidateSelector } from '../src/request/candidates.js'
import { makeClock } from './fixtures/clock.js'
import { makeTarget } from './fixtures/target.js'

const LOCALITY = { host: 'h0', zone: 'z0', region: 'r0' }
const ZONES = 9
const MAX_CANDIDATES = 41

function makeTargets (count: number): Target[] {
  return Array.from({ length: count }, (_, index) => makeTarget({ host: `h${index}`, zone: `z${index % ZONES}`, region: `r${index % 3}` }))
}

test('a pick compares all targets of a small service', () => {
  const targets = makeTargets(14)
  expect(new Set(new CandidateSelector(LOCALITY, new SeededRandom(1)).select(targets))).toEqual(new Set(targets))
})

test.each([122, 3_000, 29_000])('a pick among %i targets compares a bounded number, always with the one on its own host', count => {
  const targets = makeTargets(count)
  const selector = new CandidateSelector(LOCALITY, new SeededRandom(2))
  for (let round = 0; round < 20; round += 1) {
    const selected = selector.select(targets)
    expect(selected.length).toBeLessThanOrEqual(MAX_CANDIDATES)
    expect(new Set(selected).size).toBe(selected.length)
    expect(selected).toContain(targets[0])
  }
})

test('each target of a large service is considered in time', () => {
  const targets = makeTargets(300)
  const selector = new CandidateSelector(LOCALITY, new SeededRandom(3))
  const seen = new Set<Target>()
  for (let round = 0; round < 400; round += 1) for (const target of selector.select(targets)) seen.add(target)
  expect(seen.size).toBe(targets.length)
})

test('targets that leave are no candidates, and a call whose candidates were all tried goes to another target', () => {
  const targets = makeTargets(300)
  const leaving = targets.map((target, index) => index % 2 === 0 ? target : { ...target, state: 'leaving' as const })
  expect(new CandidateSelector(LOCALITY, new SeededRandom(4)).select(leaving).some(({ state }) => state === 'leaving')).toBe(false)
  const picker = new LeastDelayPicker(LOCALITY, makeClock(), new SeededRandom(5))
  const tried = new Set(targets.slice(0, 299).map(({ id }) => id))
  expect(picker.pick({ targets, tried, needsFreeSlot: false, zones: 'same-first' })?.id).toBe(targets[299]?.id)
})
