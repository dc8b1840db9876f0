/**
 * Guards against a body that is lost between attempts, retries that multiply because each hop retries, a target's own failure treated
 * as a failure of the path to it, a node's rejection of another node treated as one of the caller, and limits that still apply after
 * their document changed.
 */
import type { RequestListener, ServerResponse } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { afterEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { makeFailure } from '../src/core/index.js'
import { createHttpServer, writeFailure } from '../src/request/index.js'
import { startMesh, startTestServer } from './fixtures/mesh.js'
import type { Mesh, MeshOptions, TestServer } from './fixtures/mesh.js'

/** An address that refuses connections: listening on port 1 of loopback needs privileges that tests do not have. */
const REFUSING = '127.0.0.1:1'

let mesh: Mesh
let agent: Agent
/** A node that rejects the messages of other nodes. */
let rejecting: TestServer | undefined

async function open (options: MeshOptions): Promise<void> {
  agent = new Agent()
  mesh = await startMesh(options)
}

interface Received { status: number, headers: Record<string, unknown>, text: string }

async function send (path: string, body?: Buffer, headers: Record<string, string> = {}): Promise<Received> {
  const response = await request(`http://${mesh.caller}${path}`, {
    method: body === undefined ? 'GET' : 'POST', dispatcher: agent, headers: { 'x-comfreyspoke-service': 'desk', ...headers }, body: body ?? null
  })
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

afterEach(async () => {
  await agent.destroy()
  await mesh.close()
  await rejecting?.close()
  rejecting = undefined
})

const respondWithLength: RequestListener = (message, response) => { void buffer(message).then(body => { response.end(String(body.length)) }) }

const BODIES = [[0, 'remote'], [10, 'remote'], [60_000, 'remote'], [5_000_000, 'local']] as const

test.each(BODIES)('a body of %i bytes arrives complete at another target after one refused the connection (%s path)', async (length, path) => {
  await open({ targets: [REFUSING, REFUSING, respondWithLength], path, document: { retries: { minPerSecond: 1000 } } })
  for (let round = 0; round < 5; round += 1) expect(await send('/write', Buffer.alloc(length))).toMatchObject({ status: 200, text: String(length) })
})

test('a failure after several attempts asks the caller not to retry, and a call that serves a retry has only one attempt', async () => {
  await open({ targets: [REFUSING, REFUSING, REFUSING] })
  const failed = await send('/read')
  expect(failed).toMatchObject({ status: 503, headers: { 'x-comfreyspoke-verdict': 'not-run', 'x-comfreyspoke-no-retry': '1' } })
  const retried = await send('/read', undefined, { 'x-comfreyspoke-no-retry': '1' })
  expect(retried.headers).not.toHaveProperty('x-comfreyspoke-no-retry')
})

test.each([400, 403, 431])('a node that rejects the message of another node with status %i is replaced, and the caller does not get that status', async status => {
  await open({ targets: [respondWithLength, respondWithLength], document: { retries: { minPerSecond: 1000 } } })
  rejecting = await startTestServer(createHttpServer(async (_message, response) => { writeFailure(response, makeFailure('not-run', status, 'x', ''), '') }))
  const [, second = ''] = mesh.inbound
  mesh.setInbound([rejecting.address, second])
  for (let round = 0; round < 10; round += 1) expect(await send('/read')).toMatchObject({ status: 200 })
  mesh.setInbound([rejecting.address, rejecting.address])
  expect(await send('/read')).toMatchObject({ status: 503, headers: { 'x-comfreyspoke-verdict': 'not-run' } })
})

test('a target is informed that it serves a retry', async () => {
  const retries = { minPerSecond: 1000 }
  await open({ document: { retries }, targets: [REFUSING, REFUSING, (message, response) => { response.end(JSON.stringify(message.headers)) }] })
  for (let round = 0; round < 10; round += 1) {
    const headers = JSON.parse((await send('/read')).text) as Record<string, string>
    expect(headers['x-comfreyspoke-no-retry']).toBe(Number(headers['x-comfreyspoke-attempt']) > 1 ? '1' : undefined)
  }
})

test('a target\'s own failure is forwarded as a response, without a verdict and without a retry', async () => {
  let runs = 0
  const fail: RequestListener = (_, response) => {
    runs += 1
    response.writeHead(503, { 'x-comfreyspoke-verdict': 'not-run' })
    response.end('{"verdict":"not-run"}')
  }
  await open({ targets: [fail, fail, fail] })
  const response = await send('/read')
  expect(response).toMatchObject({ status: 503, text: '{"verdict":"not-run"}' })
  expect(response.headers).not.toHaveProperty('x-comfreyspoke-verdict')
  expect(runs).toBe(1)
})

test('a caller that left costs no retry budget', async () => {
  let decisions = 0
  await open({ targets: [() => {}, () => {}] })
  const { retry } = mesh.context
  mesh.context.retry = Object.assign(Object.create(retry) as typeof retry, { decide: () => { decisions += 1; return 0 } })
  const left = request(`http://${mesh.caller}/read`, { dispatcher: agent, headers: { 'x-comfreyspoke-service': 'desk' }, signal: AbortSignal.timeout(100) })
  await expect(left).rejects.toThrow()
  await mesh.awaitIdle()
  expect(decisions).toBe(0)
})

test('a full queue sheds the lowest class with Retry-After, and a raised limit serves queued requests immediately', async () => {
  const running: ServerResponse[] = []
  const arrivals: Array<() => void> = []
  const keepPending: RequestListener = (_, response) => {
    running.push(response)
    arrivals.shift()?.()
  }
  await open({ targets: [keepPending], slots: 2, document: { limits: { slots: 1, queue: 1 }, retries: { attempts: 1 } } })
  const awaitArrival = async (): Promise<void> => { await new Promise<void>(resolve => { arrivals.push(resolve) }) }
  const first = awaitArrival()
  const responses = [send('/critical')]
  await first
  const shed = send('/bulk')
  // Whichever of these two requests arrives first, the one of the lower class is rejected.
  responses.push(send('/critical'))
  expect(await shed).toMatchObject({ status: 503, headers: { 'x-comfreyspoke-verdict': 'not-run', 'retry-after': '1' } })
  const second = awaitArrival()
  mesh.setDocument({ limits: { slots: 2, queue: 1 } })
  for (const local of mesh.localTargets) local.applyLimits()
  await second
  for (const response of running) response.end('served')
  expect((await Promise.all(responses)).map(response => response.status)).toEqual([200, 200])
})
