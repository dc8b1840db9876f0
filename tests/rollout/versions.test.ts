/**
 * Guards against a bad version of any kind that gets more requests than the bounds allow, summed over 89 nodes, or that is not rolled back,
 * and against a good version that is not completed.
 */
import { expect, test } from '@jest/globals'
import { GALLERY, makeRolloutSimulation, RIGHTS, VAULT, BOUNDS } from '../fixtures/rollout.js'
import type { Behaviour, ServiceOptions } from '../fixtures/rollout.js'

const DURATION_MS = 60_000
const WARM_UP_MS = 3_000

const BAD: Array<[string, ServiceOptions, Behaviour]> = [
  ['fails at once', GALLERY, { failureRate: () => 0.3 }],
  ['fails always', VAULT, { failureRate: () => 1 }],
  ['fails rarely', GALLERY, { failureRate: () => 0.06 }],
  ['fails rarely in a small service', VAULT, { failureRate: () => 0.08 }],
  ['fails later', GALLERY, { failureRate: ({ ageMs }) => ageMs < 15_000 ? 0.002 : 0.4 }],
  ['fails under load', RIGHTS, { failureRate: ({ load }) => load > 0.5 ? 0.5 : 0.002 }],
  ['fails on one route', RIGHTS, { failureRate: ({ route }) => route === 'grant' ? 0.3 : 0.002 }],
  ['is slow', GALLERY, { slowness: () => 4 }],
  ['is slow on one route', RIGHTS, { slowness: ({ route }) => route === 'grant' ? 4 : 1 }],
  ['is slow later', VAULT, { slowness: ({ ageMs }) => ageMs < 12_000 ? 1 : 5 }]
]

test.each(BAD)('a version that %s is rolled back within the bounds', async (name, service, next) => {
  const simulation = makeRolloutSimulation([{ ...service, next }], 7)
  await simulation.run(WARM_UP_MS)
  simulation.create(DURATION_MS)
  const createdAt = simulation.clock.monotonic()
  await simulation.run(DURATION_MS + 10_000, () => simulation.isOver)
  const overAt = simulation.clock.monotonic()
  await simulation.run(5_000)
  const tally = simulation.getTally(service.name)
  const figures = { share: tally.sent / tally.requests, overAfterMs: overAt - createdAt, lateMs: tally.lastSentAt - tally.fiftiethBadAt }
  console.log(name, JSON.stringify({ ...tally, ...figures }))
  expect(simulation.store.find(service.name)?.state).toBe('rolled_back')
  expect(tally.sent).toBeLessThanOrEqual(BOUNDS.exposeShare * tally.requests + BOUNDS.exposeSlack)
  expect(tally.lastSentAt - tally.fiftiethBadAt).toBeLessThanOrEqual(BOUNDS.rollbackMs)
  expect(tally.nextAfterEnd).toBe(0)
})

const GOOD: Array<[string, ServiceOptions, Behaviour, Behaviour]> = [
  ['like the earlier one', GALLERY, {}, {}],
  ['in a small service', VAULT, {}, {}],
  ['beside an overloaded earlier one', { ...RIGHTS, routes: { grant: { perSecond: 420, workMs: 95 }, check: { perSecond: 200, workMs: 35 } } }, {}, {}],
  ['beside an earlier one that fails', GALLERY, { failureRate: () => 0.2 }, { failureRate: () => 0.2 }],
  ['that is somewhat slower', GALLERY, {}, { slowness: () => 1.3 }]
]

test.each(GOOD)('a good version %s is completed', async (name, service, earlier, next) => {
  const simulation = makeRolloutSimulation([{ ...service, earlier, next }], 11)
  await simulation.run(WARM_UP_MS)
  simulation.create(DURATION_MS)
  const createdAt = simulation.clock.monotonic()
  await simulation.run(DURATION_MS + 10_000, () => simulation.isOver)
  const overAt = simulation.clock.monotonic()
  await simulation.run(5_000)
  const tally = simulation.getTally(service.name)
  console.log(name, JSON.stringify({ ...tally, overAfterMs: overAt - createdAt }))
  expect(simulation.store.find(service.name)?.state).toBe('completed')
  expect(overAt - createdAt).toBeLessThan(DURATION_MS)
  expect(tally.earlierAfterEnd).toBe(0)
})
