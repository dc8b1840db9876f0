/**
 * Guards against a part of a response that passes for all of it: a response without a length ends with its connection, and if that ends
 * while the request is still being written, nothing says that the response is complete. Also guards what is complete nevertheless.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { Readable } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, test } from '@jest/globals'
import { UndiciHttpClient } from '../src/request/index.js'
import { startMesh } from './fixtures/mesh.js'
import type { Mesh, MeshOptions } from './fixtures/mesh.js'
import { makeFirstPicker } from './fixtures/picker.js'
import { openRawConnection, readRawResponse } from './fixtures/raw.js'
import type { RawResponse } from './fixtures/raw.js'

const RESPONSE_BUFFER_BYTES = 64 * 1024
const PIECE = 'u'.repeat(1_000)
/** Above the part of a body that a node reads before it sends anything, and long enough for the longest wait of a target after that. */
const PIECES = 150
const PIECE_INTERVAL_MS = 2
const UPLOAD_BYTES = PIECE.length * PIECES
const NO_LENGTH = 'HTTP/1.1 200 OK\r\n\r\n'

const closers: Array<() => void | Promise<void>> = []

afterEach(async () => { for (const close of closers.splice(0).reverse()) await close() })

async function startTarget (serve: (socket: Socket) => void): Promise<string> {
  const sockets = new Set<Socket>()
  const server: Server = createServer({ allowHalfOpen: true }, socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    serve(socket)
  })
  closers.push(() => {
    server.close()
    sockets.forEach(socket => { socket.destroy() })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

type End = (socket: Socket) => void
const ENDS: Array<[string, End]> = [
  // The target goes on reading, so no reset shows that it did not read everything.
  ['ends', socket => { socket.end() }],
  ['closes', socket => { socket.destroy() }],
  ['is reset', socket => { socket.resetAndDestroy() }]
]

/** Responds to the first bytes of a request, and ends the connection after a time. */
async function startEarlyTarget (text: string, end: End, afterMs: number): Promise<string> {
  return await startTarget(socket => {
    socket.once('data', () => {
      socket.on('data', () => {})
      socket.write(text, () => { setTimeout(end, afterMs, socket) })
    })
  })
}

/** Responds when it has received as many bytes of the body. */
async function startLateTarget (text: string, end: End): Promise<string> {
  return await startTarget(socket => {
    let received = ''
    let isDone = false
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      const bodyAt = received.indexOf('\r\n\r\n') + 4
      const isWhole = received.length - bodyAt >= UPLOAD_BYTES && (!/transfer-encoding/i.test(received.slice(0, bodyAt)) || received.endsWith('\r\n0\r\n\r\n'))
      if (!isWhole || isDone) return
      isDone = true
      socket.write(text, () => { setTimeout(end, 5, socket) })
    })
  })
}

async function startNodes (targets: MeshOptions['targets'], path: 'local' | 'remote'): Promise<Mesh> {
  const mesh = await startMesh({
    targets, path, responseBufferBytes: RESPONSE_BUFFER_BYTES, document: { retries: { budgetPercent: 100, minPerSecond: 1_000 } }
  })
  mesh.context.picker = makeFirstPicker()
  closers.push(mesh.close)
  return mesh
}

type Framing = 'length' | 'chunks'

/** Uploads a body in small pieces, for longer than any target of these tests waits, unless the connection ends. */
async function upload (mesh: Mesh, method: string, route: string, framing: Framing): Promise<RawResponse> {
  const socket = await openRawConnection(mesh.caller)
  const response = readRawResponse(socket)
  const length = framing === 'length' ? `content-length: ${UPLOAD_BYTES}` : 'transfer-encoding: chunked'
  socket.write(`${method} ${route} HTTP/1.1\r\nhost: a\r\nx-comfreyspoke-service: desk\r\nconnection: close\r\n${length}\r\n\r\n`)
  for (let piece = 0; piece < PIECES && socket.writable; piece += 1) {
    socket.write(framing === 'length' ? PIECE : `${PIECE.length.toString(16)}\r\n${PIECE}\r\n`)
    await delay(PIECE_INTERVAL_MS)
  }
  if (framing === 'chunks' && socket.writable) socket.write('0\r\n\r\n')
  return await response
}

/**
 * A caller that is still sending sees a reset of its connection also after a complete response. A reset may reach it before the head that
 * was sent in front of it.
 */
function describeOutcome ({ status, wasReset, text }: RawResponse): string {
  if (wasReset && (status === 0 || (status === 200 && !isComplete(text)))) return 'reset'
  return `${status}${text.includes('whole') ? ' whole' : ''}`
}

function isComplete (text: string): boolean {
  const bodyAt = text.indexOf('\r\n\r\n') + 4
  const length = /content-length: (\d+)/i.exec(text)?.[1]
  return length === undefined ? text.endsWith('\r\n0\r\n\r\n') : text.length - bodyAt >= Number(length)
}

const ROUTES: Array<[string, string, string]> = [['idempotent', 'PUT', '/read'], ['plain', 'POST', '/write']]
const FRAMINGS: Framing[] = ['length', 'chunks']
const PART_BYTES = [1_000, 200_000]
const WAITS_MS = [0, 5, 60]

const CASES = FRAMINGS.flatMap(framing => ROUTES.flatMap(([kind, method, route]) => ENDS.flatMap(([endName, end]) => WAITS_MS.flatMap(waitMs => (
  PART_BYTES.map(bytes => ({ framing, kind, method, route, endName, end, waitMs, bytes }))
)))))

async function respondWhole (): Promise<string> {
  return await startLateTarget('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', socket => { socket.end() })
}

describe.each(['local', 'remote'] as const)('on the %s path', path => {
  test.each(CASES)('body with $framing, $kind, the target sends $bytes bytes and its connection $endName after $waitMs ms: no caller gets a success', async ({ framing, method, route, end, waitMs, bytes }) => {
    const mesh = await startNodes([await startEarlyTarget(NO_LENGTH + 'p'.repeat(bytes), end, waitMs)], path)
    const outcome = describeOutcome(await upload(mesh, method, route, framing))
    // The head of a response that is longer than the buffer may have been forwarded, so only a reset can follow.
    expect(bytes > RESPONSE_BUFFER_BYTES ? ['502', 'reset'] : ['502']).toContain(outcome)
  })

  test.each(CASES.filter(({ bytes, waitMs }) => bytes === 1_000 && waitMs < 60))('body with $framing, $kind, the connection $endName after $waitMs ms: another target gets an idempotent request whose body is held', async ({ framing, kind, method, route, end, waitMs, bytes }) => {
    const mesh = await startNodes([await startEarlyTarget(NO_LENGTH + 'p'.repeat(bytes), end, waitMs), await respondWhole()], path)
    // More of a body with a length has been sent by then than a node holds for a second attempt.
    expect(describeOutcome(await upload(mesh, method, route, framing))).toBe(kind === 'idempotent' && framing === 'chunks' ? '200 whole' : '502')
  })

  const COMPLETE: Array<[string, string, string]> = [
    ['a length', 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', '200 whole'],
    ['a length and a close', 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nwhole', '200 whole'],
    ['chunks', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n', '200 whole'],
    ['no body', 'HTTP/1.1 204 No Content\r\n\r\n', '204'],
    ['a client error', 'HTTP/1.1 413 Too Large\r\nconnection: close\r\ncontent-length: 5\r\n\r\nwhole', '413 whole'],
    ['a server error', 'HTTP/1.1 507 Full\r\ncontent-length: 5\r\n\r\nwhole', '507 whole']
  ]
  test.each(COMPLETE.flatMap(([name, text, expected]) => FRAMINGS.flatMap(framing => ENDS.map(([endName, end]) => (
    { name, text, expected, framing, endName, end }
  )))))('an early complete response with $name to a body with $framing is forwarded, if then the connection $endName', async ({ text, expected, framing, end }) => {
    const mesh = await startNodes([await startEarlyTarget(text, end, 30)], path)
    expect(describeOutcome(await upload(mesh, 'POST', '/write', framing))).toBe(expected)
  })

  test.each(FRAMINGS.flatMap(framing => [5, 200_000].map(bytes => ({ framing, bytes }))))('a response of $bytes bytes without a length to a body with $framing that was written to its end is forwarded', async ({ framing, bytes }) => {
    const mesh = await startNodes([await startLateTarget(NO_LENGTH + 'whole'.padEnd(bytes, 'p'), socket => { socket.end() })], path)
    expect(describeOutcome(await upload(mesh, 'POST', '/write', framing))).toBe('200 whole')
  })
})

test.each(FRAMINGS.flatMap(framing => ENDS.map(([endName, end]) => ({ framing, endName, end }))))('a node of a target whose connection $endName in the same way gives no caller a success (body with $framing)', async ({ framing, end }) => {
  const mesh = await startNodes([(_message, response) => { response.end('not called') }], 'remote')
  mesh.setInbound([await startEarlyTarget(`${NO_LENGTH}part`, end, 5)])
  expect(describeOutcome(await upload(mesh, 'POST', '/write', framing))).toBe('502')
})

test.each(['local', 'remote'] as const)('a response without a length to a request with an empty body is forwarded (%s path)', async path => {
  const address = await startTarget(socket => { socket.once('data', () => { socket.end(`${NO_LENGTH}whole`) }) })
  const mesh = await startNodes([address], path)
  const socket = await openRawConnection(mesh.caller)
  const response = readRawResponse(socket)
  socket.write('POST /write HTTP/1.1\r\nhost: a\r\nx-comfreyspoke-service: desk\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
  expect(describeOutcome(await response)).toBe('200 whole')
})

test.each(ENDS)('an end before the request was written adds no byte to the request, if the connection %s', async (_name, end) => {
  let received = ''
  const address = await startTarget(socket => {
    socket.on('data', chunk => { received += chunk.toString('latin1') })
    socket.once('data', () => { socket.write(`${NO_LENGTH}part`, () => { setTimeout(end, 5, socket) }) })
  })
  const client = new UndiciHttpClient(1)
  closers.push(async () => { await client.close() })
  const body = Readable.from((async function * () {
    yield 'begin'
    await delay(200)
    yield 'rest'
  })(), { objectMode: false })
  const sent = await client.send({
    address, method: 'POST', path: '/', headers: { 'content-length': '9' }, body, signal: AbortSignal.timeout(5_000), bufferBytes: RESPONSE_BUFFER_BYTES
  })
  expect(sent.val).toMatchObject({ verdict: 'may-have-run', status: 502, reached: true })
  await delay(20)
  expect(received.slice(received.indexOf('\r\n\r\n') + 4)).toBe('begin')
})
