/**
 * Guards against work that waits for a slot that it cannot get in time, and against a refusal that the
 * first node cannot read and so has to take for a request that may have run.
 */
import { setImmediate as settle } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import { failureSchema } from '../src/core/index.js'
import type { Failure, Result } from '../src/core/index.js'
import { SlotLimiter, ExpectedWaitAdmissionPolicy } from '../src/request/index.js'
import type { Permit } from '../src/request/index.js'
import { ManualClock } from './fixtures/clock.js'

const SERVICE_MS = 217.3

function makeGate (queue: number): { gate: SlotLimiter, clock: ManualClock, acquire: (leftMs: number) => Promise<Result<Permit, Failure>> } {
  const clock = new ManualClock()
  const gate = new SlotLimiter({ slots: 2, queue }, clock, new ExpectedWaitAdmissionPolicy())
  return { gate, clock, acquire: async leftMs => await gate.acquire('normal', leftMs, new AbortController().signal) }
}

/** Lets the gate learn how long requests hold a slot, and leaves all slots taken. */
async function fillGate ({ clock, acquire }: ReturnType<typeof makeGate>): Promise<void> {
  for (let round = 0; round < 50; round += 1) {
    const permit = await acquire(10_000)
    clock.advance(SERVICE_MS)
    if (permit.ok) permit.val.release()
  }
  await acquire(10_000)
  await acquire(10_000)
}

test('a request that would get its slot too late is refused at once, as not run, in a form that the first node reads', async () => {
  const made = makeGate(100)
  await fillGate(made)
  const refused = await made.acquire(100)
  if (refused.ok) throw new Error('a late request was let in')
  expect(refused.val).toMatchObject({ verdict: 'not-run', code: 'no_time', status: 503 })
  expect(failureSchema.parse(JSON.parse(JSON.stringify(refused.val)))).toEqual(refused.val)
})

test('with a full queue the refusal says when to come back in whole milliseconds', async () => {
  const made = makeGate(0)
  await fillGate(made)
  const refused = await made.acquire(10_000)
  if (refused.ok) throw new Error('a request was let into a full queue')
  expect(failureSchema.parse(refused.val).retryAfterMs).toBeGreaterThan(0)
})

test('a request that waits is refused while its first node still waits for the answer', async () => {
  const made = makeGate(100)
  await fillGate(made)
  let refused: Result<Permit, Failure> | undefined
  void made.acquire(400).then(result => { refused = result })
  made.clock.advance(250)
  await settle()
  expect(refused).toBeUndefined()
  made.clock.advance(100)
  await settle()
  expect(refused?.err === true && refused.val.verdict).toBe('not-run')
})

test('under more work than the target can do, who is let in is still on time', async () => {
  const made = makeGate(100)
  await fillGate(made)
  const results = await Promise.all(Array.from({ length: 20 }, async () => {
    const settled = made.gate.acquire('normal', 4_000, new AbortController().signal, 600)
    return await Promise.race([settled, settle().then(() => 'waits' as const)])
  }))
  const waiting = results.filter(result => result === 'waits').length
  // The part of the objective that may be spent waiting holds this many turns of two slots.
  expect(waiting).toBe(Math.floor(600 * 0.35 / SERVICE_MS * 2))
  expect(results.filter(result => result !== 'waits' && result.err && result.val.verdict === 'not-run')).toHaveLength(20 - waiting)
})
