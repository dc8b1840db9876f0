/**
 * Guards against requests that wait for a slot that they cannot get in time, and against a rejection that the caller-side node cannot
 * parse and must therefore treat as a request that may have run.
 */
import { setImmediate as settle } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import { failureSchema } from '../src/core/index.js'
import type { Failure, Result } from '../src/core/index.js'
import { SlotLimiter, ExpectedWaitAdmissionPolicy } from '../src/request/index.js'
import type { Permit } from '../src/request/index.js'
import { ManualClock } from './fixtures/clock.js'

const SERVICE_MS = 217.3

interface LimiterFixture { limiter: SlotLimiter, clock: ManualClock, acquire: (leftMs: number) => Promise<Result<Permit, Failure>> }

function makeLimiter (queue: number, slots = 2): LimiterFixture {
  const clock = new ManualClock()
  const limiter = new SlotLimiter({ slots, queue }, clock, new ExpectedWaitAdmissionPolicy())
  return { limiter, clock, acquire: async leftMs => await limiter.acquire('normal', leftMs, new AbortController().signal) }
}

/** Sets the average service time of the limiter, and leaves all slots in use. Returns a function that frees one of them. */
async function fillLimiter ({ clock, acquire }: ReturnType<typeof makeLimiter>): Promise<() => void> {
  for (let round = 0; round < 50; round += 1) {
    const permit = await acquire(10_000)
    clock.advance(SERVICE_MS)
    if (permit.ok) permit.val.release()
  }
  const held = await acquire(10_000)
  await acquire(10_000)
  return () => { if (held.ok) held.val.release() }
}

test('a request that would get its slot too late is rejected immediately as not run, in a form that the caller-side node parses', async () => {
  const fixture = makeLimiter(100)
  await fillLimiter(fixture)
  const rejected = await fixture.acquire(100)
  if (rejected.ok) throw new Error('a late request was admitted')
  expect(rejected.val).toMatchObject({ verdict: 'not-run', code: 'no_time', status: 503 })
  expect(failureSchema.parse(JSON.parse(JSON.stringify(rejected.val)))).toEqual(rejected.val)
})

test('a rejection because of a full queue gives the retry delay in whole milliseconds', async () => {
  const fixture = makeLimiter(0)
  await fillLimiter(fixture)
  const rejected = await fixture.acquire(10_000)
  if (rejected.ok) throw new Error('a request was admitted to a full queue')
  expect(failureSchema.parse(rejected.val).retryAfterMs).toBeGreaterThan(0)
})

test('a queued request is rejected while its caller-side node still waits for the response', async () => {
  const fixture = makeLimiter(100)
  await fillLimiter(fixture)
  let rejected: Result<Permit, Failure> | undefined
  void fixture.acquire(400).then(result => { rejected = result })
  fixture.clock.advance(250)
  await settle()
  expect(rejected).toBeUndefined()
  fixture.clock.advance(100)
  await settle()
  expect(rejected?.err === true && rejected.val.verdict).toBe('not-run')
})

test('under overload, requests that are admitted still finish within their objective', async () => {
  const fixture = makeLimiter(100)
  await fillLimiter(fixture)
  const results = await Promise.all(Array.from({ length: 20 }, async () => {
    const settled = fixture.limiter.acquire('normal', 4_000, new AbortController().signal, 600)
    return await Promise.race([settled, settle().then(() => 'waits' as const)])
  }))
  const waiting = results.filter(result => result === 'waits').length
  // With two slots, this many requests are served in the share of the objective that may be spent in the queue.
  expect(waiting).toBe(Math.floor(600 * 0.35 / SERVICE_MS * 2))
  expect(results.filter(result => result !== 'waits' && result.err && result.val.verdict === 'not-run')).toHaveLength(20 - waiting)
})

test('several short calls next to long requests wait for one of many slots, and no more than are served in time', async () => {
  const fixture = makeLimiter(100, 4)
  await fillLimiter(fixture)
  for (let slot = 2; slot < 4; slot += 1) await fixture.acquire(10_000)
  const results = await Promise.all(Array.from({ length: 6 }, async () => {
    const settled = fixture.limiter.acquire('normal', 500, new AbortController().signal, 150)
    return await Promise.race([settled, settle().then(() => 'waits' as const)])
  }))
  expect(results.filter(result => result === 'waits')).toHaveLength(3)
})

test('a short call next to long requests waits for the next free slot, although that takes longer than its share of the objective', async () => {
  const fixture = makeLimiter(100)
  const release = await fillLimiter(fixture)
  let admitted: Result<Permit, Failure> | undefined
  void fixture.limiter.acquire('normal', 500, new AbortController().signal, 150).then(result => { admitted = result })
  await settle()
  expect(admitted).toBeUndefined()
  void fixture.limiter.acquire('normal', 500, new AbortController().signal, 150).then(result => { expect(result.ok).toBe(false) })
  release()
  await settle()
  expect(admitted?.ok).toBe(true)
})
