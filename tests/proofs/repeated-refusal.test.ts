/**
 * A faulty target repeats an earlier refusal on a kept connection while it runs the next request. Guards against a caller that is
 * told that its request did not run, and against a second run at another target.
 */
import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { PlatformProtocolAdapter } from '../../platform/front.js'
import { startMesh, startTestServer } from '../fixtures/mesh.js'
import type { Mesh, TestServer } from '../fixtures/mesh.js'

const REQUESTS = 24
const RUN_MS = 10
const NOT_RUN_STATUSES = [408, 421, 429, 503]
const ROUTES = { write: { host: 'shop.example', methods: ['POST'], path: '/write', below: true, kind: 'plain', deadlineMs: 2_000 } }

type Repetition = 'with the id of the earlier request' | 'without an id' | 'in pieces without an id'

let mesh: Mesh
let targets: TestServer[] = []
let agent: Agent
const runs = new Map<string, number>()

function makeRefusal (id: string | undefined): string {
  return `HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n${id === undefined ? '' : `x-attempt-id: ${id}\r\n`}content-length: 0\r\n\r\n`
}

function makeAnswer (id: string): string {
  return `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-signature: s\r\ncontent-length: 2\r\n\r\nok`
}

/** Refuses each first request of a pair on a connection, and repeats that refusal while it runs the second one. */
function serveFaulty (socket: Socket, repetition: Repetition): void {
  let refused: string | undefined
  socket.on('error', () => {})
  socket.on('data', chunk => {
    const id = /x-attempt-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1]
    if (id === undefined) return
    if (refused === undefined) {
      refused = id
      socket.write(makeRefusal(id))
      return
    }
    runs.set(id, (runs.get(id) ?? 0) + 1)
    writeRepetition(socket, makeRefusal(repetition === 'with the id of the earlier request' ? refused : undefined), repetition)
    refused = undefined
    setTimeout(() => { if (socket.writable) socket.write(makeAnswer(id)) }, RUN_MS)
  })
}

function writeRepetition (socket: Socket, refusal: string, repetition: Repetition): void {
  if (repetition !== 'in pieces without an id') {
    socket.write(refusal)
    return
  }
  socket.write(refusal.slice(0, 20))
  setTimeout(() => { if (socket.writable) socket.write(refusal.slice(20)) }, 2)
}

function makeFaultyServer (repetition: Repetition): Server {
  return createServer({ noDelay: true }, socket => { serveFaulty(socket, repetition) })
}

async function start (repetition: Repetition, path: 'local' | 'remote'): Promise<void> {
  runs.clear()
  agent = new Agent()
  targets = []
  for (let index = 0; index < 2; index += 1) targets.push(await startTestServer(makeFaultyServer(repetition) as never))
  mesh = await startMesh({
    targets: targets.map(({ address }) => address), path, document: { routes: ROUTES, retries: { attempts: 3, minPerSecond: 1000 } }, adapter: new PlatformProtocolAdapter(() => 'gallery')
  })
}

async function send (id: string): Promise<number> {
  const response = await request(`http://${mesh.caller}/write/${id}`, {
    method: 'POST', body: 'x', dispatcher: agent, headers: { host: 'shop.example', 'x-attempt-id': id, 'x-timeout-ms': '1000' }
  })
  await response.body.dump()
  return response.statusCode
}

afterEach(async () => {
  await agent.destroy()
  for (const { server } of targets) server.close()
  await mesh.close()
})

test.each([
  ['with the id of the earlier request', 'local'], ['with the id of the earlier request', 'remote'],
  ['without an id', 'local'], ['without an id', 'remote'],
  ['in pieces without an id', 'local'], ['in pieces without an id', 'remote']
] as const)('a refusal that is repeated %s on a kept connection is no verdict on the next request (%s)', async (repetition, path) => {
  await start(repetition, path)
  for (let index = 0; index < REQUESTS; index += 1) {
    const id = `r${index}`
    const status = await send(id)
    expect(runs.get(id) ?? 0).toBeLessThanOrEqual(1)
    if (runs.has(id)) expect(NOT_RUN_STATUSES).not.toContain(status)
  }
  // Without requests that met a repeated refusal, the checks would hold trivially.
  expect(runs.size).toBeGreaterThan(2)
})
