/**
 * Guards against connections that go silent, are cut or end in the middle of an answer: an answer that
 * reaches another request, a request that is sent twice, one that is called not run though it was sent,
 * and a peer that cannot be reached any more because old connections to it are kept.
 */
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { setImmediate as yieldToEvents } from 'node:timers/promises'
import { afterEach, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { HEADERS, UndiciHttpClient } from '../../src/request/index.js'
import { makeDeadline } from '../fixtures/deadline.js'
import { makeClock } from '../fixtures/clock.js'
import type { ManualClock } from '../fixtures/clock.js'
import { startScriptedServer } from '../fixtures/scripted.js'
import type { ScriptedAction, ScriptedServer } from '../fixtures/scripted.js'
import { readPropertyParameters } from '../fixtures/property.js'

const CONNECTIONS = 4
const SHORT_MS = 30
const LONG_MS = 20_000

interface One { deed: ScriptedAction, keyed: boolean, hasBody: boolean, leaves: boolean }
interface Batch { sends: One[], idleMs: number, event: 'none' | 'silence' | 'close' }
interface World { server: ScriptedServer, clock: ManualClock, exchanger: UndiciHttpClient, sent: number }
type End = { id: string, kind: 'whole' | 'cut' | 'not-run' | 'may-have-run', code: string }

const anyOne: fc.Arbitrary<One> = fc.record({
  deed: fc.constantFrom<ScriptedAction>('answer', 'answer', 'answer', 'large', 'cut', 'half', 'silent'),
  keyed: fc.boolean(),
  hasBody: fc.boolean(),
  leaves: fc.constantFrom(false, false, false, true)
})
const anyBatch: fc.Arbitrary<Batch> = fc.record({
  sends: fc.array(anyOne, { minLength: 1, maxLength: 6 }),
  idleMs: fc.constantFrom(0, 500, 1_500, 10_000),
  event: fc.constantFrom<Batch['event']>('none', 'none', 'silence', 'close')
})

async function sendOne (world: World, { deed, keyed, hasBody, leaves }: One, limitMs: number): Promise<End> {
  world.sent += 1
  const id = `id-${world.sent}`
  const left = new AbortController()
  const sent = await world.exchanger.send({
    address: world.server.address,
    method: 'POST',
    path: '/bookings',
    headers: { 'x-id': id, 'x-do': deed, ...(keyed ? { [HEADERS.key]: id } : {}) },
    body: hasBody ? Readable.from([Buffer.from('a'), Buffer.from('b')]) : undefined,
    signal: makeDeadline(left.signal, limitMs)
  })
  if (sent.err) left.abort()
  if (sent.err) return { id, kind: sent.val.verdict === 'not-run' ? 'not-run' : 'may-have-run', code: sent.val.code }
  if (leaves) left.abort()
  const body = await text(sent.val.body).catch(() => undefined)
  left.abort()
  if (body === undefined) return { id, kind: 'cut', code: '' }
  expect(body.replaceAll('x', '')).toBe(id)
  return { id, kind: 'whole', code: '' }
}

function checkEnds ({ server }: World, ends: readonly End[]): void {
  const counts = new Map<string, number>()
  for (const { id } of server.received) counts.set(id, (counts.get(id) ?? 0) + 1)
  for (const { id, kind } of ends) {
    expect(counts.get(id) ?? 0).toBeLessThanOrEqual(1)
    if (kind === 'not-run') expect(counts.get(id)).toBeUndefined()
  }
}

const open = new Set<World>()

async function makeWorld (connections = CONNECTIONS): Promise<World> {
  const clock = makeClock()
  const world = { server: await startScriptedServer(), clock, exchanger: new UndiciHttpClient(connections, undefined, clock), sent: 0 }
  open.add(world)
  return world
}

async function stopWorld (world: World): Promise<void> {
  const { exchanger, server } = world
  if (!open.delete(world)) return
  await exchanger.close()
  await server.stop()
}

afterEach(async () => { for (const world of open) await stopWorld(world) })

async function runBatch (world: World, { sends, idleMs, event }: Batch): Promise<End[]> {
  world.clock.advance(idleMs)
  if (event === 'silence') world.server.markUnresponsive()
  if (event === 'close') world.server.closeAll()
  return await Promise.all(sends.map(async one => await sendOne(world, one, SHORT_MS)))
}

const PLAIN: One = { deed: 'answer', keyed: false, hasBody: false, leaves: false }
const KEYED: One = { ...PLAIN, keyed: true }

test('no request is sent twice, answered with another one\'s answer, or wrongly called not run', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyBatch, { maxLength: 5, size: 'max' }), async batches => {
    const world = await makeWorld()
    try {
      const ends: End[] = []
      for (const batch of batches) {
        ends.push(...await runBatch(world, batch))
        checkEnds(world, ends)
      }
      world.server.markUnresponsive()
      world.clock.advance(1_500)
      expect(await sendOne(world, KEYED, LONG_MS)).toMatchObject({ kind: 'whole' })
      expect(world.server.received.at(-1)?.isFirst).toBe(true)
      checkEnds(world, ends)
    } finally {
      await stopWorld(world)
    }
  }), readPropertyParameters(60))
})

test('one time-out retires the idle connections to the peer, which may be silent too', async () => {
  const world = await makeWorld()
  await Promise.all([1, 2, 3, 4].map(async () => await sendOne(world, PLAIN, LONG_MS)))
  world.server.markUnresponsive()
  expect(await sendOne(world, PLAIN, SHORT_MS)).toMatchObject({ kind: 'may-have-run', code: 'deadline' })
  expect(await sendOne(world, PLAIN, LONG_MS)).toMatchObject({ kind: 'whole' })
})

test('a request without a key uses an idle connection again, and nobody keeps one for long', async () => {
  const world = await makeWorld()
  for (const idleMs of [0, 500, 1_500, 10_000]) {
    world.clock.advance(idleMs)
    await sendOne(world, PLAIN, LONG_MS)
  }
  expect(world.server.received.map(one => one.isFirst)).toEqual([true, false, false, true])
})

test('a request that waits for a connection until its deadline was not run', async () => {
  const world = await makeWorld(1)
  const first = sendOne(world, { ...PLAIN, deed: 'silent' }, 200)
  await yieldToEvents()
  const second = await sendOne(world, KEYED, SHORT_MS)
  expect(second).toMatchObject({ kind: 'not-run', code: 'deadline' })
  expect(await first).toMatchObject({ kind: 'may-have-run' })
  expect(await sendOne(world, KEYED, LONG_MS)).toMatchObject({ kind: 'whole' })
  checkEnds(world, [second])
})

test('a refused connection, an aborted call and a bad header are not run', async () => {
  const world = await makeWorld()
  const send = async (change: { signal?: AbortSignal, headers?: Record<string, string> }): Promise<unknown> => {
    const signal = AbortSignal.timeout(LONG_MS)
    const outgoing = { address: world.server.address, method: 'POST', path: '/', headers: { 'x-id': 'none' }, body: undefined, signal }
    return (await world.exchanger.send({ ...outgoing, ...change })).val
  }
  expect(await send({ signal: AbortSignal.abort() })).toMatchObject({ verdict: 'not-run' })
  expect(await send({ headers: { 'x-id': 'a\nb' } })).toMatchObject({ verdict: 'not-run' })
  await world.server.stop()
  expect(await send({})).toMatchObject({ verdict: 'not-run', code: 'not_connected' })
  expect(world.server.received).toEqual([])
  await world.exchanger.close()
  open.delete(world)
})
