/**
 * Guards against a faulty target that sends bytes without end, in the head or the body of a response: the exchange must end with a
 * true verdict, hold a bounded number of bytes, and close the connection.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, test } from '@jest/globals'
import type { Failure, Result } from '../src/core/index.js'
import { makeFailure } from '../src/core/index.js'
import { UndiciHttpClient } from '../src/request/index.js'
import type { ResponseHead, TargetResponse } from '../src/request/index.js'

const CHUNK = Buffer.alloc(16 * 1024, 'a')
const BUFFER_BYTES = 64 * 1024
const DEADLINE_MS = 1_500
/** The deadline of a request no longer applies after its rejection was passed on. */
const NO_DEADLINE = new AbortController().signal
/** Discarding ends earlier than this, and the test before its own time limit. */
const CLOSE_WAIT_MS = 3_000
/** What may be on the way in the buffers of the two sockets, besides what the node reads. */
const MAX_SENT_BYTES = 32 * 1024 * 1024

interface EndlessTarget { address: string, closed: Promise<void>, getSentBytes: () => number }

const servers: Server[] = []
const clients: UndiciHttpClient[] = []

/** Calls `respond` when the first bytes of a request have arrived. `closed` resolves when the connection has ended in any way. */
function makeServer (respond: (socket: Socket) => void): { server: Server, closed: Promise<void> } {
  const server = createServer()
  servers.push(server)
  const closed = new Promise<void>(resolve => {
    server.once('connection', socket => {
      socket.on('error', () => {})
      socket.once('data', () => { respond(socket) })
      socket.once('close', () => { resolve() })
    })
  })
  return { server, closed }
}

/** Sends `start`, then bytes until its connection is closed. */
async function startEndlessTarget (start: string): Promise<EndlessTarget> {
  let sentBytes = 0
  const write = (socket: Socket): void => {
    if (socket.destroyed) return
    sentBytes += CHUNK.length
    socket.write(CHUNK, error => { if (error === undefined || error === null) setImmediate(write, socket) })
  }
  const { server, closed } = makeServer(socket => { socket.write(start, () => { write(socket) }) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, closed, getSentBytes: () => sentBytes }
}

interface SendOptions { signal?: AbortSignal, checkHead?: (head: ResponseHead) => Failure | undefined }

async function send (address: string, options: SendOptions = {}): Promise<Result<TargetResponse, Failure>> {
  const client = new UndiciHttpClient(1)
  clients.push(client)
  return await client.send({
    address,
    method: 'POST',
    path: '/',
    headers: {},
    body: undefined,
    signal: AbortSignal.timeout(DEADLINE_MS),
    bufferBytes: BUFFER_BYTES,
    ...options
  })
}

async function expectClosed (closed: Promise<void>): Promise<void> {
  const timeout = new Promise((_resolve, reject) => { setTimeout(() => { reject(new Error('the connection is still open')) }, CLOSE_WAIT_MS).unref() })
  await Promise.race([closed, timeout])
}

afterEach(async () => {
  await Promise.all(clients.splice(0).map(async client => { await client.close() }))
  for (const server of servers.splice(0)) server.close()
})

describe.each([
  ['no HTTP at all', ''],
  ['a header name', 'HTTP/1.1 200 OK\r\n'],
  ['a header value', 'HTTP/1.1 200 OK\r\nx-long: '],
  ['a chunk size', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n']
])('bytes without end in %s', (_name, start) => {
  test('end the exchange at once as one that may have run', async () => {
    const target = await startEndlessTarget(start)
    const startedAt = performance.now()
    const sent = await send(target.address)
    expect(sent.val).toMatchObject({ verdict: 'may-have-run', status: 502 })
    expect(performance.now() - startedAt).toBeLessThan(DEADLINE_MS)
    await expectClosed(target.closed)
    expect(target.getSentBytes()).toBeLessThan(MAX_SENT_BYTES)
  })
})

test('a status line without end ends the exchange at its deadline as one that may have run', async () => {
  const target = await startEndlessTarget('HTTP/1.1 200 ')
  expect((await send(target.address)).val).toMatchObject({ verdict: 'may-have-run', status: 504 })
  await expectClosed(target.closed)
})

test('the body without end of a rejected response is not read to the end', async () => {
  const target = await startEndlessTarget('HTTP/1.1 503 Service Unavailable\r\n\r\n')
  const rejection = makeFailure('not-run', 503, 'target_refused', 'rejected')
  expect((await send(target.address, { checkHead: () => rejection, signal: NO_DEADLINE })).val).toEqual(rejection)
  await expectClosed(target.closed)
  expect(target.getSentBytes()).toBeLessThan(MAX_SENT_BYTES)
})

test('the body of a rejected response that never arrives does not keep the connection', async () => {
  const { server, closed } = makeServer(socket => { socket.write('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 10\r\n\r\n') })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  expect((await send(address, { checkHead: () => makeFailure('not-run', 503, 'target_refused', 'rejected'), signal: NO_DEADLINE })).val).toMatchObject({ verdict: 'not-run' })
  await expectClosed(closed)
})
