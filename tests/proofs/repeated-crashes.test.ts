/**
 * Guards against a request that crashes each target that runs it and is never blocked: because its body is too long to be held whole, since
 * the identity of a request must not depend on how its body is sent or kept, or because the target starts again with the id that it had.
 * The nodes are processes.
 */
import { Readable } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, expect, test } from '@jest/globals'
import { awaitTrue, CRASHING_PATH, startRestartedHosts } from '../fixtures/restarts.js'
import type { RestartedHost, RestartedHosts } from '../fixtures/restarts.js'

const HOSTS = 3
const TIMEOUT_MS = 60_000
/** Above what a node holds of a body. */
const BODY = 'photo '.repeat(250_000)
const CHUNK_LENGTH = 100_000
/** Within this time each node knows that a request has crashed a target. */
const MARK_SPREAD_MS = 1_000

let fleet: RestartedHosts | undefined

afterEach(async () => {
  await fleet?.stop()
  fleet = undefined
})

function makeChunkedBody (body = BODY): Readable {
  const count = Math.ceil(body.length / CHUNK_LENGTH)
  const chunks = Array.from({ length: count }, (_, index) => body.slice(index * CHUNK_LENGTH, (index + 1) * CHUNK_LENGTH))
  return Readable.from(chunks, { objectMode: false })
}

async function sendToEach ({ hosts }: RestartedHosts, makeBody: (index: number) => string | Readable): Promise<string[]> {
  const codes: string[] = []
  for (const [index, host] of hosts.entries()) {
    codes.push((await host.send(CRASHING_PATH, makeBody(index))).code)
    await delay(MARK_SPREAD_MS)
    for (const { target } of hosts) if (!target.isRunning) target.start(target.born + 1_000)
    await awaitTrue(async () => (await host.send()).status === 200)
  }
  return codes
}

test.each<[string, (index: number) => string | Readable]>([
  ['with a length', () => BODY],
  ['in chunks', () => makeChunkedBody()],
  ['once with a length and once in chunks', index => index % 2 === 0 ? BODY : makeChunkedBody()]
])('a crashing request with a body that is not held whole is blocked after two crashes when it is sent %s', async (_name, makeBody) => {
  fleet = await startRestartedHosts(HOSTS)
  expect((await sendToEach(fleet, makeBody)).at(-1)).toBe('quarantined')
  expect(fleet.crashes).toBe(2)
}, TIMEOUT_MS)

test('a request with another long body on the same path is not blocked with it', async () => {
  fleet = await startRestartedHosts(HOSTS)
  await sendToEach(fleet, () => BODY)
  const [host] = fleet.hosts
  expect((await host?.send(CRASHING_PATH, `other ${BODY}`))?.code).not.toBe('quarantined')
}, TIMEOUT_MS)

test('a request that crashes one target again and again is blocked after two crashes, also if the target keeps its id', async () => {
  fleet = await startRestartedHosts(1)
  const [host] = fleet.hosts as [RestartedHost]
  const { target } = host
  for (const born of [2_000, 3_000]) {
    await host.send(CRASHING_PATH)
    await delay(MARK_SPREAD_MS)
    target.start(born, target.id)
    expect(await target.sendHeartbeat()).toBe(200)
    await awaitTrue(async () => (await host.send()).status === 200)
  }
  expect((await host.send(CRASHING_PATH)).code).toBe('quarantined')
  expect(fleet.crashes).toBe(2)
}, TIMEOUT_MS)
