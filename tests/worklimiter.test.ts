/**
 * Guards against requests that wait for a slot until their caller has left, nested calls that wait behind long requests while their run
 * holds a slot, and a change of behaviour where neither accounts nor reports of machines call for decisions by expected time.
 */
import type { IncomingMessage } from 'node:http'
import { setImmediate as settle } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import type { Failure, Result } from '../src/core/index.js'
import type { RouteClass } from '../src/document/index.js'
import { ExpectedWaitAdmissionPolicy, HEADERS, RepeatMeter, SharedRoomEntryPolicy, SlotLimiter, WorkControl, WorkLimiter } from '../src/request/index.js'
import type { EntryState, Permit } from '../src/request/index.js'
import { filterCallerHeaders } from '../src/request/headers.js'
import { formatLoad, parseLoad } from '../src/request/load.js'
import { readInboundRequest } from '../src/request/queries/inbound.js'
import { makeNeed } from '../src/request/workcontrol.js'
import { PlatformProtocolAdapter } from '../platform/front.js'
import { makeClock } from './fixtures/clock.js'
import type { ManualClock } from './fixtures/clock.js'

const WORK_MS = { record: 200, lookup: 40 }
const TARGET = 't'

interface Sent { result: Result<Permit, Failure> | undefined }

interface LimiterFixture {
  clock: ManualClock
  control: WorkControl
  limiter: WorkLimiter
  send: (kind: keyof typeof WORK_MS, request?: { routeClass?: RouteClass, leftMs?: number, objectiveMs?: number, spentMs?: number }) => Promise<Sent>
}

function makeLimiter (slots: number, queue = 12): LimiterFixture {
  const clock = makeClock()
  const control = new WorkControl(() => true)
  const limiter = new WorkLimiter({ slots, queue }, clock, new ExpectedWaitAdmissionPolicy(), TARGET, control)
  for (const [kind, ms] of Object.entries(WORK_MS)) {
    for (const spentMs of [0, 1]) control.model.recordTime(makeNeed('registry', kind, 'GET', spentMs), TARGET, ms, 1, clock.monotonic())
  }
  return {
    clock,
    control,
    limiter,
    send: async (kind, { routeClass = 'normal', leftMs = 4_000, objectiveMs = 1_200, spentMs = 0 } = {}) => {
      const sent: Sent = { result: undefined }
      void limiter.acquire(routeClass, leftMs, new AbortController().signal, objectiveMs, makeNeed('registry', kind, 'GET', spentMs)).then(result => { sent.result = result })
      await settle()
      return sent
    }
  }
}

function release ({ result }: Sent): void {
  if (result?.ok !== true) throw new Error('the request has no slot')
  result.val.release(true)
}

test('a request that cannot be answered in time is refused at once, also when that shows only while it waits', async () => {
  const { send, clock } = makeLimiter(1)
  const running = await send('record')
  const waiting = await send('record', { objectiveMs: 600 })
  expect(waiting.result).toBeUndefined()
  const refused = await send('record', { leftMs: 300 })
  expect(refused.result?.err === true && refused.result.val).toMatchObject({ verdict: 'not-run', code: 'no_time' })
  // The run lasts longer than expected.
  clock.advance(400)
  await settle()
  expect(waiting.result?.err === true && waiting.result.val).toMatchObject({ verdict: 'not-run', code: 'no_time' })
  release(running)
})

test('a nested call is served before requests that have used no slot yet', async () => {
  const { send, clock } = makeLimiter(1)
  const running = await send('record')
  const record = await send('record', { routeClass: 'critical' })
  const nested = await send('lookup', { leftMs: 409, objectiveMs: 153, spentMs: 150 })
  clock.advance(200)
  release(running)
  await settle()
  expect(nested.result?.ok).toBe(true)
  expect(record.result).toBeUndefined()
})

test('a request that can be in time goes before one that would be late, and takes its place in a full queue by class', async () => {
  const { send } = makeLimiter(1, 1)
  await send('record')
  const late = await send('record', { objectiveMs: 250 })
  expect(late.result?.err === true && late.result.val.code).toBe('no_time')
  const bulk = await send('record', { routeClass: 'bulk' })
  const critical = await send('record', { routeClass: 'critical' })
  expect(bulk.result?.err === true && bulk.result.val).toMatchObject({ verdict: 'not-run', code: 'shed' })
  expect(critical.result).toBeUndefined()
})

test('without accounts the limiter decides as the plain one', async () => {
  const clock = makeClock()
  const admission = new ExpectedWaitAdmissionPolicy()
  const plain = new SlotLimiter({ slots: 2, queue: 3 }, clock, admission)
  const control = new WorkControl(() => false)
  const limiter = new WorkLimiter({ slots: 2, queue: 3 }, clock, admission, TARGET, control)
  const random = new SeededRandom(5)
  const traces: string[][] = [[], []]
  const permits: Permit[][] = [[], []]
  for (let step = 0; step < 400; step += 1) {
    const [leftMs, objectiveMs, isRelease] = [50 + 500 * random.next(), 50 + 300 * random.next(), random.next() < 0.4]
    for (const [index, each] of [plain, limiter].entries()) {
      if (isRelease) permits[index]?.shift()?.release(true)
      else {
        void each.acquire('normal', leftMs, new AbortController().signal, objectiveMs, makeNeed('registry', 'record', 'GET')).then(result => {
          traces[index]?.push(`${step} ${result.ok ? 'slot' : result.val.code}`)
          if (result.ok) permits[index]?.push(result.val)
        })
      }
    }
    clock.advance(20)
    await settle()
    expect(limiter.load).toEqual(plain.load)
  }
  expect(traces[1]).toEqual(traces[0])
  expect(new Set(traces[0]?.map(line => line.split(' ')[1])).size).toBeGreaterThan(2)
})

test('the figure of a machine is read from the response of the target and sent between nodes', () => {
  const adapter = new PlatformProtocolAdapter(() => 'gallery')
  const readPercent = (value: string): number | undefined => adapter.readMachinePercent({ statusCode: 200, headers: { 'x-server-load': value } })
  expect([readPercent('1,2,6,250'), readPercent('1,2,6'), readPercent('x'), adapter.readMachinePercent({ statusCode: 200, headers: {} })]).toEqual([250, undefined, undefined, undefined])
  const load = { used: 1, waiting: 2, slots: 6, freeInMs: 30 }
  for (const more of [{}, { serviceMs: 152 }, { machinePercent: 250 }, { serviceMs: 0, machinePercent: 90 }]) {
    expect(parseLoad(formatLoad({ ...load, ...more }))).toEqual({ ...load, ...more })
  }
})

test('a service without room gets a few calls that tell when it has room again, and clients return at different times', () => {
  const clock = makeClock()
  const states: EntryState[] = []
  const entry = new SharedRoomEntryPolicy(clock, new SeededRandom(2), state => { states.push(state) })
  let hasRoom = false
  const countSent = (): number => {
    let sent = 0
    for (let call = 0; call < 1_000; call += 1) {
      clock.advance(10)
      const isRefused = entry.isRefused('gallery', 'bulk')
      if (!isRefused) sent += 1
      entry.recordCall('gallery', 'bulk', !isRefused && hasRoom)
    }
    return sent
  }
  const sentWithoutRoom = countSent()
  expect(sentWithoutRoom).toBeGreaterThan(2)
  expect(sentWithoutRoom).toBeLessThan(50)
  expect(entry.isRefused('gallery', 'critical')).toBe(false)
  const times = Array.from({ length: 200 }, () => entry.computeRetryAfter('gallery', 'bulk', 500))
  expect(Math.max(...times) / Math.min(...times)).toBeGreaterThan(2.5)
  hasRoom = true
  countSent()
  expect(entry.isRefused('gallery', 'bulk')).toBe(false)
  expect(states).toEqual([{ service: 'gallery', group: 'bulk', isRefusing: true }, { service: 'gallery', group: 'bulk', isRefusing: false }])
})

test('runs are refused by the share of their nested calls that find no room', () => {
  const clock = makeClock()
  const entry = new SharedRoomEntryPolicy(clock, new SeededRandom(2))
  for (let call = 0; call < 100; call += 1) entry.recordCall('registry', 'nested', call % 2 === 0)
  const countRefused = (calls: number): number => Array.from({ length: 1_000 }, () => entry.isRunRefused([{ service: 'registry', calls }])).filter(Boolean).length
  expect(countRefused(0)).toBe(0)
  expect(countRefused(0.1)).toBeLessThan(150)
  expect(countRefused(2)).toBeGreaterThan(500)
  expect(countRefused(2)).toBeLessThan(950)
})

test('the time that a run has used its slot goes with its nested calls between nodes, and a caller cannot set it', () => {
  const clock = makeClock()
  const repeats = new RepeatMeter(clock)
  expect(repeats.computeSpent('registry', 400)).toBe(0)
  const endRun = repeats.beginRun('gallery normal GET', { isRepeat: false, repeatShare: 0 }, 3_000)
  clock.advance(100)
  repeats.beginRun('gallery normal GET', { isRepeat: false, repeatShare: 0 }, 3_000)
  clock.advance(50)
  expect(repeats.computeSpent('registry', 400)).toBeCloseTo(100)
  repeats.recordCall('registry', 400)
  expect(repeats.computeSpent('registry', 400)).toBeCloseTo(100)
  endRun()
  expect(repeats.computeSpent('registry', 400)).toBeCloseTo(50)
  const headers = { host: 'h', [HEADERS.deadline]: '400', [HEADERS.kind]: 'lookup', [HEADERS.spent]: '100' }
  const readHead = (sent: Record<string, unknown>): Result<unknown, Failure> => readInboundRequest({ headers: sent, rawHeaders: [], httpVersion: '1.1' } as unknown as IncomingMessage)
  expect(readHead(headers).val).toMatchObject({ route: 'lookup', spentMs: 100 })
  expect(readHead({ ...headers, [HEADERS.spent]: '0' }).val).toMatchObject({ spentMs: 1 })
  expect(readHead({ ...headers, [HEADERS.spent]: 'x' }).val).toMatchObject({ spentMs: 0 })
  expect(Object.keys(filterCallerHeaders(headers))).toEqual(['host', HEADERS.deadline])
})
