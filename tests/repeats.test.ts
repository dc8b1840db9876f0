/**
 * Guards against repeats whose origin cannot be told: a second attempt of a node, or a call that a target makes while it serves one.
 */
import { afterEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { SystemClock } from '../src/core/index.js'
import { RepeatMeter, SharedBudgetRetryPolicy } from '../src/request/index.js'
import type { RunOrigin } from '../src/request/schema.js'
import { makeClock } from './fixtures/clock.js'
import { startMesh } from './fixtures/mesh.js'
import type { Mesh, MeshOptions } from './fixtures/mesh.js'
import { makeFirstPicker } from './fixtures/picker.js'
import { makeRejection } from './fixtures/repeats.js'

const agent = new Agent()
let mesh: Mesh | undefined

afterEach(async () => {
  await mesh?.close()
  mesh = undefined
})

const ROUNDS = 8

test.each(['local', 'remote'] as const)('an arrival after one that reached a target is counted as a repeat at the node of the target (%s path)', async path => {
  const targets: MeshOptions['targets'] = [
    message => { message.socket.destroy() },
    (_, response) => { response.end('ok') }
  ]
  mesh = await startMesh({ targets, path, document: { retries: { minPerSecond: 1_000 } } })
  // Each first attempt meets the failing target. A picker that learns avoids it after the first response of the other one.
  mesh.context.picker = makeFirstPicker()
  const meters = new Set([mesh.context.inbound.repeats, ...mesh.meters])
  for (let round = 0; round < ROUNDS; round += 1) {
    const response = await request(`http://${mesh.caller}/read`, { dispatcher: agent, headers: { 'x-comfreyspoke-service': 'desk' } })
    expect(await response.body.text()).toBe('ok')
  }
  const counts = [...meters].flatMap(meter => [...meter.collectCounts().values()])
  const made = counts.reduce((sum, { repeats }) => sum + repeats, 0)
  expect(made).toBe(ROUNDS)
  expect(counts.reduce((sum, { repeatedArrivals }) => sum + repeatedArrivals, 0)).toBe(made)
  expect(counts.reduce((sum, { arrivals }) => sum + arrivals, 0)).toBe(ROUNDS + made)
})

const KIND = 'desk normal GET'
const FIRST: RunOrigin = { isRepeat: false, repeatShare: 0 }
const REPEAT: RunOrigin = { isRepeat: true, repeatShare: 1 }

test('a call counts as one of a repeated run by the share of repeats among the runs in flight', () => {
  const meter = new RepeatMeter(makeClock())
  const endFirst = meter.beginRun(KIND, FIRST, 1_000)
  const endRepeat = meter.beginRun(KIND, REPEAT, 1_000)
  expect(meter.recordCall('gallery', 500)).toEqual({ isOfRun: true, repeatShare: 0.5 })
  endFirst()
  expect(meter.recordCall('gallery', 500)).toEqual({ isOfRun: true, repeatShare: 1 })
  endRepeat()
  expect(meter.recordCall('gallery', 500)).toEqual({ isOfRun: false, repeatShare: 0 })
  expect(meter.collectCounts().get('gallery')).toMatchObject({ calls: 3, callsOfRepeats: 1.5 })
})

/** Callers of the same host call the same services. Their calls must not count as repeats. */
test('a call that expires later than each run in flight was made by none of them', () => {
  const meter = new RepeatMeter(makeClock())
  meter.beginRun(KIND, REPEAT, 1_000)
  expect(meter.recordCall('gallery', 4_000)).toEqual({ isOfRun: false, repeatShare: 0 })
})

/** An address that refuses connections: listening on port 1 of loopback needs privileges that tests do not have. */
const REFUSING = '127.0.0.1:1'
const CALLS = 30

test('second attempts that reach no target leave their part of the budget to others', async () => {
  const retry = new SharedBudgetRetryPolicy({ ratio: 0.5, extra: 0, windowMs: 60_000 }, () => 1, new SystemClock())
  mesh = await startMesh({ targets: [message => { message.socket.destroy() }, REFUSING, REFUSING], retry })
  for (let call = 0; call < CALLS; call += 1) {
    const response = await request(`http://${mesh.caller}/read`, { dispatcher: agent, headers: { 'x-comfreyspoke-service': 'desk' } })
    await response.body.dump()
  }
  expect(mesh.context.inbound.repeats.collectCounts().get('desk')?.repeats).toBeGreaterThan(0)
  expect(mesh.meters.slice(1).flatMap(meter => [...meter.collectCounts().values()])).toEqual([])
  const decisions = Array.from({ length: CALLS }, () => retry.decide(makeRejection()))
  expect(decisions.filter(decision => typeof decision === 'number').length).toBe(CALLS * 0.5 * 0.8)
})
