/**
 * Guards against a body that is lost between attempts, retries below a retry, a target's own failure
 * taken for one of the path, and limits that hold on after their document changed.
 */
import type { RequestListener, ServerResponse } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { afterEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { startMesh } from './fixtures/mesh.js'
import type { Mesh, MeshOptions } from './fixtures/mesh.js'

/** An address that nobody listens on: port 1 of loopback needs rights that tests do not have. */
const REFUSING = '127.0.0.1:1'

let mesh: Mesh
let agent: Agent

async function open (options: MeshOptions): Promise<void> {
  agent = new Agent()
  mesh = await startMesh(options)
}

interface Got { status: number, headers: Record<string, unknown>, text: string }

async function send (path: string, body?: Buffer, headers: Record<string, string> = {}): Promise<Got> {
  const answer = await request(`http://${mesh.caller}${path}`, {
    method: body === undefined ? 'GET' : 'POST', dispatcher: agent, headers: { 'x-comfreyspoke-service': 'desk', ...headers }, body: body ?? null
  })
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
}

afterEach(async () => {
  await agent.destroy()
  await mesh.close()
})

const answerLength: RequestListener = (message, response) => { void buffer(message).then(body => { response.end(String(body.length)) }) }

const BODIES = [[0, 'remote'], [10, 'remote'], [60_000, 'remote'], [5_000_000, 'local']] as const

test.each(BODIES)('a body of %i bytes comes whole to the second target after the first refused (%s path)', async (length, path) => {
  await open({ targets: [REFUSING, REFUSING, answerLength], path, document: { retries: { minPerSecond: 1000 } } })
  for (let round = 0; round < 5; round += 1) expect(await send('/write', Buffer.alloc(length))).toMatchObject({ status: 200, text: String(length) })
})

test('a failure after attempts asks the caller not to repeat them, and a call that serves a retry has one attempt', async () => {
  await open({ targets: [REFUSING, REFUSING, REFUSING] })
  const tried = await send('/read')
  expect(tried).toMatchObject({ status: 503, headers: { 'x-comfreyspoke-verdict': 'not-run', 'x-comfreyspoke-no-retry': '1' } })
  const marked = await send('/read', undefined, { 'x-comfreyspoke-no-retry': '1' })
  expect(marked.headers).not.toHaveProperty('x-comfreyspoke-no-retry')
})

test('a target is told that it serves a retry', async () => {
  const retries = { minPerSecond: 1000 }
  await open({ document: { retries }, targets: [REFUSING, REFUSING, (message, response) => { response.end(JSON.stringify(message.headers)) }] })
  for (let round = 0; round < 10; round += 1) {
    const headers = JSON.parse((await send('/read')).text) as Record<string, string>
    expect(headers['x-comfreyspoke-no-retry']).toBe(Number(headers['x-comfreyspoke-attempt']) > 1 ? '1' : undefined)
  }
})

test('a target\'s own failure is passed on as an answer, without a verdict and without a retry', async () => {
  let runs = 0
  const fail: RequestListener = (_, response) => {
    runs += 1
    response.writeHead(503, { 'x-comfreyspoke-verdict': 'not-run' })
    response.end('{"verdict":"not-run"}')
  }
  await open({ targets: [fail, fail, fail] })
  const answer = await send('/read')
  expect(answer).toMatchObject({ status: 503, text: '{"verdict":"not-run"}' })
  expect(answer.headers).not.toHaveProperty('x-comfreyspoke-verdict')
  expect(runs).toBe(1)
})

test('a full queue sheds the lowest class with Retry-After, and a raised limit serves who waits at once', async () => {
  const running: ServerResponse[] = []
  const arrivals: Array<() => void> = []
  const hold: RequestListener = (_, response) => {
    running.push(response)
    arrivals.shift()?.()
  }
  await open({ targets: [hold], slots: 2, document: { limits: { slots: 1, queue: 1 }, retries: { attempts: 1 } } })
  const awaitArrival = async (): Promise<void> => { await new Promise<void>(resolve => { arrivals.push(resolve) }) }
  const first = awaitArrival()
  const answers = [send('/critical')]
  await first
  const shed = send('/bulk')
  // The second of two requests that wait sheds the other, whichever came first.
  answers.push(send('/critical'))
  expect(await shed).toMatchObject({ status: 503, headers: { 'x-comfreyspoke-verdict': 'not-run', 'retry-after': '1' } })
  const second = awaitArrival()
  mesh.setDocument({ limits: { slots: 2, queue: 1 } })
  for (const local of mesh.localTargets) local.applyLimits()
  await second
  for (const response of running) response.end('served')
  expect((await Promise.all(answers)).map(answer => answer.status)).toEqual([200, 200])
})
