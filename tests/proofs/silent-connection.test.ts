/**
 * Connections become unresponsive, are reset, or end in the middle of a response. Guards against a response that reaches
 * another request, a request that is sent twice, a request that was sent but has the verdict not run, and a peer that
 * stays unreachable because old connections to it are kept.
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
const SHORT_TIMEOUT_MS = 30
const LONG_TIMEOUT_MS = 20_000

interface RequestSpec { action: ScriptedAction, hasKey: boolean, hasBody: boolean, disconnects: boolean }
interface Batch { requests: RequestSpec[], idleMs: number, event: 'none' | 'silence' | 'close' }
interface TestContext { server: ScriptedServer, clock: ManualClock, client: UndiciHttpClient, sentCount: number }
type SendResult = { id: string, kind: 'whole' | 'cut' | 'not-run' | 'may-have-run', code: string }

const anyRequest: fc.Arbitrary<RequestSpec> = fc.record({
  action: fc.constantFrom<ScriptedAction>('answer', 'answer', 'answer', 'large', 'cut', 'half', 'silent'),
  hasKey: fc.boolean(),
  hasBody: fc.boolean(),
  disconnects: fc.constantFrom(false, false, false, true)
})
const anyBatch: fc.Arbitrary<Batch> = fc.record({
  requests: fc.array(anyRequest, { minLength: 1, maxLength: 6 }),
  idleMs: fc.constantFrom(0, 500, 1_500, 10_000),
  event: fc.constantFrom<Batch['event']>('none', 'none', 'silence', 'close')
})

async function sendRequest (context: TestContext, { action, hasKey, hasBody, disconnects }: RequestSpec, timeoutMs: number): Promise<SendResult> {
  context.sentCount += 1
  const id = `id-${context.sentCount}`
  const disconnect = new AbortController()
  const sendResult = await context.client.send({
    address: context.server.address,
    method: 'POST',
    path: '/bookings',
    headers: { 'x-id': id, 'x-do': action, ...(hasKey ? { [HEADERS.key]: id } : {}) },
    body: hasBody ? Readable.from([Buffer.from('a'), Buffer.from('b')]) : undefined,
    signal: makeDeadline(disconnect.signal, timeoutMs)
  })
  if (sendResult.err) disconnect.abort()
  if (sendResult.err) return { id, kind: sendResult.val.verdict === 'not-run' ? 'not-run' : 'may-have-run', code: sendResult.val.code }
  if (disconnects) disconnect.abort()
  const body = await text(sendResult.val.body as Readable).catch(() => undefined)
  disconnect.abort()
  if (body === undefined) return { id, kind: 'cut', code: '' }
  expect(body.replaceAll('x', '')).toBe(id)
  return { id, kind: 'whole', code: '' }
}

function checkResults ({ server }: TestContext, results: readonly SendResult[]): void {
  const counts = new Map<string, number>()
  for (const { id } of server.received) counts.set(id, (counts.get(id) ?? 0) + 1)
  for (const { id, kind } of results) {
    expect(counts.get(id) ?? 0).toBeLessThanOrEqual(1)
    if (kind === 'not-run') expect(counts.get(id)).toBeUndefined()
  }
}

const openContexts = new Set<TestContext>()

async function makeContext (connections = CONNECTIONS): Promise<TestContext> {
  const clock = makeClock()
  const context = { server: await startScriptedServer(), clock, client: new UndiciHttpClient(connections, undefined, clock), sentCount: 0 }
  openContexts.add(context)
  return context
}

async function stopContext (context: TestContext): Promise<void> {
  const { client, server } = context
  if (!openContexts.delete(context)) return
  await client.close()
  await server.stop()
}

afterEach(async () => { for (const context of openContexts) await stopContext(context) })

async function runBatch (context: TestContext, { requests, idleMs, event }: Batch): Promise<SendResult[]> {
  context.clock.advance(idleMs)
  if (event === 'silence') context.server.markUnresponsive()
  if (event === 'close') context.server.closeAll()
  return await Promise.all(requests.map(async spec => await sendRequest(context, spec, SHORT_TIMEOUT_MS)))
}

const PLAIN_REQUEST: RequestSpec = { action: 'answer', hasKey: false, hasBody: false, disconnects: false }
const KEYED_REQUEST: RequestSpec = { ...PLAIN_REQUEST, hasKey: true }

test('no request is sent twice, gets another request\'s response, or wrongly has the verdict not run', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyBatch, { maxLength: 5, size: 'max' }), async batches => {
    const context = await makeContext()
    try {
      const results: SendResult[] = []
      for (const batch of batches) {
        results.push(...await runBatch(context, batch))
        checkResults(context, results)
      }
      context.server.markUnresponsive()
      context.clock.advance(1_500)
      expect(await sendRequest(context, KEYED_REQUEST, LONG_TIMEOUT_MS)).toMatchObject({ kind: 'whole' })
      expect(context.server.received.at(-1)?.isFirst).toBe(true)
      checkResults(context, results)
    } finally {
      await stopContext(context)
    }
  }), readPropertyParameters(60))
})

test('one timeout retires the idle connections to the peer, which may be unresponsive too', async () => {
  const context = await makeContext()
  await Promise.all([1, 2, 3, 4].map(async () => await sendRequest(context, PLAIN_REQUEST, LONG_TIMEOUT_MS)))
  context.server.markUnresponsive()
  expect(await sendRequest(context, PLAIN_REQUEST, SHORT_TIMEOUT_MS)).toMatchObject({ kind: 'may-have-run', code: 'deadline' })
  expect(await sendRequest(context, PLAIN_REQUEST, LONG_TIMEOUT_MS)).toMatchObject({ kind: 'whole' })
})

test('a request without a key reuses an idle connection, and no connection stays idle for long', async () => {
  const context = await makeContext()
  for (const idleMs of [0, 500, 1_500, 10_000]) {
    context.clock.advance(idleMs)
    await sendRequest(context, PLAIN_REQUEST, LONG_TIMEOUT_MS)
  }
  expect(context.server.received.map(request => request.isFirst)).toEqual([true, false, false, true])
})

test('a request that waits for a connection until its deadline has the verdict not run', async () => {
  const context = await makeContext(1)
  const first = sendRequest(context, { ...PLAIN_REQUEST, action: 'silent' }, 200)
  await yieldToEvents()
  const second = await sendRequest(context, KEYED_REQUEST, SHORT_TIMEOUT_MS)
  expect(second).toMatchObject({ kind: 'not-run', code: 'deadline' })
  expect(await first).toMatchObject({ kind: 'may-have-run' })
  expect(await sendRequest(context, KEYED_REQUEST, LONG_TIMEOUT_MS)).toMatchObject({ kind: 'whole' })
  checkResults(context, [second])
})

test('a refused connection, an aborted call and an invalid header have the verdict not run', async () => {
  const context = await makeContext()
  const send = async (overrides: { signal?: AbortSignal, headers?: Record<string, string> }): Promise<unknown> => {
    const signal = AbortSignal.timeout(LONG_TIMEOUT_MS)
    const outgoing = { address: context.server.address, method: 'POST', path: '/', headers: { 'x-id': 'none' }, body: undefined, signal }
    return (await context.client.send({ ...outgoing, ...overrides })).val
  }
  expect(await send({ signal: AbortSignal.abort() })).toMatchObject({ verdict: 'not-run' })
  expect(await send({ headers: { 'x-id': 'a\nb' } })).toMatchObject({ verdict: 'not-run' })
  await context.server.stop()
  expect(await send({})).toMatchObject({ verdict: 'not-run', code: 'not_connected' })
  expect(context.server.received).toEqual([])
  await context.client.close()
  openContexts.delete(context)
})
