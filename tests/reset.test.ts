/**
 * Guards against a target that stops in the middle of its response: its bytes must never make a complete response, whether its connection
 * ends or is reset, in the head or in the body, and whether the receiver reads the body at once or later.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { buffer } from 'node:stream/consumers'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, test } from '@jest/globals'
import type { Failure, Result } from '../src/core/index.js'
import { request } from 'undici'
import { UndiciHttpClient } from '../src/request/index.js'
import type { TargetResponse } from '../src/request/index.js'
import { startMesh } from './fixtures/mesh.js'
import { makeFirstPicker } from './fixtures/picker.js'

const BUFFER_BYTES = 64 * 1024
/** Longer than a stream buffers, so that a response that nobody reads pauses the connection. */
const LONG_PART = 'x'.repeat(70_000)
const DEADLINE_MS = 5_000
/** A truncated response ends earlier than this, without waiting for the deadline. */
const PROMPT_MS = 2_000

const ENDS: Array<[string, (socket: Socket) => void]> = [
  ['ends', socket => { socket.end() }],
  ['is reset', socket => { socket.resetAndDestroy() }]
]

let server: Server
let client: UndiciHttpClient

async function startTarget (respond: (socket: Socket) => void): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => { respond(socket) })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  client = new UndiciHttpClient(1)
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function send (address: string, bufferBytes: number): Promise<Result<TargetResponse, Failure>> {
  return await client.send({
    address, method: 'GET', path: '/', headers: {}, body: undefined, signal: AbortSignal.timeout(DEADLINE_MS), bufferBytes
  })
}

/** Returns the body, or undefined if the exchange failed or the body was truncated. */
async function readWhole (sent: Result<TargetResponse, Failure>): Promise<string | undefined> {
  if (sent.err) return undefined
  const { body } = sent.val
  return await (Buffer.isBuffer(body) ? body.toString() : buffer(body).then(bytes => bytes.toString(), () => undefined))
}

afterEach(async () => {
  await client.close()
  server.close()
})

const HEADS: Array<[string, string]> = [
  ['no byte', ''],
  ['a part of the status line', 'HTTP/1.1 200'],
  ['the status line', 'HTTP/1.1 200 OK\r\n'],
  ['a part of a header line', 'HTTP/1.1 200 OK\r\ncontent-le'],
  ['a part of a header value', 'HTTP/1.1 200 OK\r\ncontent-length: 1'],
  ['a header line', 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'],
  ['a header line that ends the connection', 'HTTP/1.1 200 OK\r\nconnection: close\r\n'],
  ['half of the empty line', 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r'],
  ['a status line of HTTP/1.0', 'HTTP/1.0 200 OK\r\nx-a: b\r\n'],
  ['an early hint only', 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n'],
  ['an early hint and a part of the head', 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\nHTTP/1.1 200 OK\r\nconnection: close\r\n']
]

describe.each(ENDS)('the connection %s', (_end, end) => {
  test.each(HEADS)('after %s: the exchange may have run, and nothing is returned', async (_head, text) => {
    const address = await startTarget(socket => { socket.write(text, () => { setTimeout(end, 20, socket) }) })
    expect((await send(address, BUFFER_BYTES)).val).toMatchObject({ verdict: 'may-have-run', status: 502 })
  })

  test.each(HEADS)('after %s that follows a whole response on the connection: the response before is not returned again', async (_head, text) => {
    let count = 0
    const address = await startTarget(socket => {
      count += 1
      if (count === 1) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole')
      else socket.write(text, () => { setTimeout(end, 20, socket) })
    })
    expect(await readWhole(await send(address, BUFFER_BYTES))).toBe('whole')
    expect((await send(address, BUFFER_BYTES)).val).toMatchObject({ verdict: 'may-have-run', status: 502 })
  })

  const BODIES: Array<[string, string]> = ['keep-alive', 'close'].flatMap((connection): Array<[string, string]> => [
    [`a length, ${connection}`, `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ncontent-length: 100\r\n\r\npart`],
    [`a length and no byte of the body, ${connection}`, `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ncontent-length: 100\r\n\r\n`],
    [`chunks, ${connection}`, `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`],
    [`a chunk that is cut, ${connection}`, `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ntransfer-encoding: chunked\r\n\r\n9\r\npart`],
    [`the last chunk without its end, ${connection}`, `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n`]
  ])

  test.each(BODIES.flatMap(([name, text]) => [[name, 0, text], [name, BUFFER_BYTES, text]] as const))('in a body with %s, buffered up to %i bytes: the response is truncated', async (_name, bufferBytes, text) => {
    const address = await startTarget(socket => { socket.write(text, () => { setTimeout(end, 20, socket) }) })
    expect(await readWhole(await send(address, bufferBytes))).toBeUndefined()
  })
})

describe.each(['local', 'remote'] as const)('on the %s path', path => {
  test.each(ENDS)('a caller gets no success from a target whose connection %s in its response, and idempotent requests go to another target', async (_end, end) => {
    const texts = [...HEADS.map(([, text]) => text), 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart']
    let count = 0
    const faulty = await startTarget(socket => {
      const text = texts[count % texts.length] ?? ''
      count += 1
      socket.write(text, () => { setTimeout(end, 5, socket) })
    })
    const mesh = await startMesh({
      targets: [faulty, (_message, response) => { response.end('whole') }], path, document: { retries: { budgetPercent: 100, minPerSecond: 1_000 } }
    })
    mesh.context.picker = makeFirstPicker()
    const seen: string[] = []
    for (const [method, route] of [['GET', '/read'], ['POST', '/write']] as const) {
      for (const [index] of texts.entries()) {
        const headers = { 'x-comfreyspoke-service': 'desk' }
        const response = await request(`http://${mesh.caller}${route}`, { method, headers }).catch(() => undefined)
        const text = await response?.body.text().catch(() => undefined)
        const outcome = text === undefined ? 'reset' : response?.statusCode === 200 ? text : response?.statusCode
        seen.push(`${route} ${index === texts.length - 1 ? 'body' : 'head'} ${outcome ?? ''}`)
      }
    }
    await mesh.close()
    // The mesh forwards a body as it comes, so a body that is truncated ends in a reset.
    expect([...new Set(seen)]).toEqual(['/read head whole', '/read body reset', '/write head 502', '/write body reset'])
    expect(count).toBe(texts.length * 2)
  })
})

/** The parser of undici is paused while nobody reads. */
test.each([
  ['no length', ''], ['a length', 'content-length: 200000\r\n'], ['chunks', 'transfer-encoding: chunked\r\n']
])('a response with %s that is reset before its receiver reads it ends with an error at once', async (_name, header) => {
  const chunk = header.startsWith('transfer') ? `${LONG_PART.length.toString(16)}\r\n${LONG_PART}` : LONG_PART
  const address = await startTarget(socket => {
    socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${header}\r\n${chunk}`, () => { setTimeout(() => { socket.resetAndDestroy() }, 50) })
  })
  const unexpected: unknown[] = []
  const record = (error: unknown): void => { unexpected.push(error) }
  process.on('uncaughtException', record)
  try {
    const startedAt = performance.now()
    const sent = await send(address, 0)
    await delay(200)
    expect(await readWhole(sent)).toBeUndefined()
    expect(performance.now() - startedAt).toBeLessThan(PROMPT_MS)
    expect(unexpected).toEqual([])
  } finally {
    process.off('uncaughtException', record)
  }
})
