/**
 * Guards against a path that holds bodies in memory, waits for an upload before it passes the answer
 * on, loses trailers, keeps running what its caller gave up, or lets a cut answer pass for a whole one.
 */
import { once } from 'node:events'
import { Agent as HttpAgent, request as sendRequest } from 'node:http'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { startMesh } from './fixtures/mesh.js'
import type { Mesh, MeshOptions } from './fixtures/mesh.js'
import { openRawConnection, readRawResponse } from './fixtures/raw.js'

const MEBIBYTE = 1024 * 1024
const SERVICE_HEADER = { 'x-comfreyspoke-service': 'desk' }

let mesh: Mesh
let agent: Agent

async function open (target: RequestListener, options: Partial<MeshOptions> = {}): Promise<string> {
  agent = new Agent()
  mesh = await startMesh({ targets: [target], ...options })
  return `http://${mesh.caller}`
}

afterEach(async () => {
  await agent.destroy()
  await mesh.close()
})

async function countBytes (message: IncomingMessage): Promise<number> {
  let bytes = 0
  for await (const chunk of message) bytes += (chunk as Buffer).length
  return bytes
}

function makeChunks (bytes: number, onChunk: (sent: number) => void = () => {}): Readable {
  return Readable.from(generateChunks(bytes, onChunk), { objectMode: false })
}

async function * generateChunks (bytes: number, onChunk: (sent: number) => void): AsyncGenerator<Buffer> {
  const chunk = Buffer.alloc(64 * 1024, 'x')
  for (let sent = 0; sent < bytes; sent += chunk.length) {
    onChunk(sent)
    yield chunk
  }
}

/** Resolves when the value has stood still for a while. */
async function awaitStill (read: () => number): Promise<number> {
  for (let last = -1; ;) {
    const now = read()
    if (now === last) return now
    last = now
    await delay(400)
  }
}

describe.each(['local', 'remote'] as const)('%s path', path => {
  test('a large upload waits for a target that does not read, and memory stays bounded', async () => {
    let release = (): void => {}
    const released = new Promise<void>(resolve => { release = resolve })
    const origin = await open((message, response) => {
      void released.then(async () => { response.end(String(await countBytes(message))) })
    }, { path })
    let sent = 0
    const size = 256 * MEBIBYTE
    const answer = request(`${origin}/read/x`, { method: 'PUT', dispatcher: agent, headers: SERVICE_HEADER, body: makeChunks(size, bytes => { sent = bytes }) })
    expect(await awaitStill(() => sent)).toBeLessThan(32 * MEBIBYTE)
    const before = process.memoryUsage().rss
    let peak = before
    const watch = setInterval(() => { peak = Math.max(peak, process.memoryUsage().rss) }, 20)
    release()
    expect(await (await answer).body.text()).toBe(String(size))
    clearInterval(watch)
    expect(peak - before).toBeLessThan(128 * MEBIBYTE)
  })

  test('a large answer waits for a caller that does not read', async () => {
    let sent = 0
    const size = 128 * MEBIBYTE
    const origin = await open((_, response) => {
      const write = async (): Promise<void> => {
        for await (const chunk of makeChunks(size, bytes => { sent = bytes })) if (!response.write(chunk)) await once(response, 'drain')
        response.end()
      }
      void write()
    }, { path })
    const answer = await request(`${origin}/read`, { dispatcher: agent, headers: SERVICE_HEADER })
    expect(await awaitStill(() => sent)).toBeLessThan(32 * MEBIBYTE)
    let received = 0
    for await (const chunk of answer.body) received += (chunk as Buffer).length
    expect(received).toBe(size)
  })

  test('an answer before the upload ends reaches the caller', async () => {
    const origin = await open((_, response) => {
      response.writeHead(403)
      response.end('no more photos')
    }, { path })
    const upload = sendRequest(`${origin}/write`, { method: 'POST', headers: SERVICE_HEADER })
    upload.on('error', () => {})
    upload.write('the first part')
    const [answer] = await once(upload, 'response') as [IncomingMessage]
    expect(answer.statusCode).toBe(403)
    expect(await text(answer)).toBe('no more photos')
    upload.destroy()
  })

  test('trailers of an answer are passed on', async () => {
    const origin = await open((_, response) => {
      response.writeHead(200, { trailer: 'x-sum' })
      response.write('body')
      response.addTrailers({ 'x-sum': '42' })
      response.end()
    }, { path })
    const answer = await request(`${origin}/read`, { dispatcher: agent, headers: SERVICE_HEADER })
    expect(await answer.body.text()).toBe('body')
    expect(answer.trailers).toEqual({ 'x-sum': '42' })
  })

  test.each([['HEAD', 200], ['GET', 204], ['GET', 304]] as const)('%s with status %i has no body and leaves the connection usable', async (method, status) => {
    const origin = await open((_, response) => {
      response.writeHead(status, status === 204 ? { 'x-kept': 'yes' } : { 'x-kept': 'yes', 'content-length': '5' })
      response.end()
    }, { path })
    const keepAlive = new HttpAgent({ keepAlive: true, maxSockets: 1 })
    for (let round = 0; round < 2; round += 1) {
      const sent = sendRequest(`${origin}/read`, { method, agent: keepAlive, headers: SERVICE_HEADER })
      sent.end()
      const [answer] = await once(sent, 'response') as [IncomingMessage]
      expect({ status: answer.statusCode, kept: answer.headers['x-kept'], body: await text(answer) }).toEqual({ status, kept: 'yes', body: '' })
    }
    keepAlive.destroy()
  })

  test('a caller that waits for 100 gets it when its request is acceptable, and a refusal otherwise', async () => {
    const origin = await open((message, response) => { void countBytes(message).then(bytes => { response.end(String(bytes)) }) }, { path })
    const send = async (length: number): Promise<{ status: number | undefined, continued: boolean }> => {
      let continued = false
      const upload = sendRequest(`${origin}/small`, { method: 'POST', headers: { ...SERVICE_HEADER, expect: '100-continue', 'content-length': length } })
      upload.on('error', () => {})
      upload.on('continue', () => {
        continued = true
        upload.end('x'.repeat(length))
      })
      upload.flushHeaders()
      const [answer] = await once(upload, 'response') as [IncomingMessage]
      answer.resume()
      upload.destroy()
      return { status: answer.statusCode, continued }
    }
    expect(await send(500)).toEqual({ status: 200, continued: true })
    expect(await send(5_000)).toEqual({ status: 413, continued: false })
  })

  test('the target sees that the caller left, and the slot is free again', async () => {
    let resolve = (_: ServerResponse): void => {}
    const seen = new Promise<ServerResponse>(_resolve => { resolve = _resolve })
    const origin = await open((_, response) => { resolve(response) }, { path })
    const abort = new AbortController()
    const answer = request(`${origin}/read`, { dispatcher: agent, headers: SERVICE_HEADER, signal: abort.signal })
    answer.catch(() => {})
    const response = await seen
    const closed = once(response, 'close')
    abort.abort()
    await closed
    while (mesh.localTargets[0]?.countUsedSlots() !== 0) await delay(5)
  })

  test('the deadline is passed on less the time spent, and holds while the body streams', async () => {
    const passed: number[] = []
    const origin = await open((message, response) => {
      passed.push(Number(message.headers['x-comfreyspoke-deadline-ms']))
      response.write('a part, and then nothing')
    }, { path })
    const answer = await request(`${origin}/read`, { dispatcher: agent, headers: { ...SERVICE_HEADER, 'x-comfreyspoke-deadline-ms': '400' } })
    await expect(answer.body.text()).rejects.toThrow()
    expect(passed[0]).toBeGreaterThan(0)
    expect(passed[0]).toBeLessThan(400)
  })

  test('a cut answer of any framing is a reset for the caller', async () => {
    const origin = await open((message, response) => {
      const isSized = message.url === '/read/sized'
      response.writeHead(200, isSized ? { 'content-length': '1000' } : {})
      response.write('part', () => { setImmediate(() => { response.socket?.destroy() }) })
    }, { path })
    for (const url of ['/read/sized', '/read/chunked']) {
      const answer = request(`${origin}${url}`, { dispatcher: agent, headers: SERVICE_HEADER })
      await expect(answer.then(async ({ body }) => await body.text())).rejects.toThrow()
    }
    // To a caller of HTTP/1.0 a plain close would be the end of a whole answer.
    const socket = await openRawConnection(mesh.caller)
    const raw = readRawResponse(socket)
    socket.write('GET /read/chunked HTTP/1.0\r\nx-comfreyspoke-service: desk\r\n\r\n')
    expect((await raw).wasReset).toBe(true)
  })

  test('a body that grows above the limit of its route is refused while it streams', async () => {
    const origin = await open((message, response) => { void countBytes(message).then(() => { response.end() }, () => {}) }, { path })
    const answer = await request(`${origin}/small`, { method: 'POST', dispatcher: agent, headers: SERVICE_HEADER, body: makeChunks(MEBIBYTE) })
    expect({ status: answer.statusCode, failure: await answer.body.json() }).toMatchObject({ status: 413, failure: { verdict: 'may-have-run' } })
  })

  test('headers that belong to a hop or to nodes are not passed from callers', async () => {
    const origin = await open((message, response) => { response.end(JSON.stringify(message.headers)) }, { path })
    const socket = await openRawConnection(mesh.caller)
    const raw = readRawResponse(socket)
    socket.write(['GET /read HTTP/1.1', 'host: desk', 'connection: close, x-private', 'x-private: 1', 'te: trailers', 'proxy-authorization: x', 'x-plain: 2',
      'x-comfreyspoke-attempt: 7', 'x-comfreyspoke-class: critical', 'x-comfreyspoke-target: t-9', 'x-comfreyspoke-verdict: ran', '', ''].join('\r\n'))
    const seen = JSON.parse((await raw).text.split('\r\n\r\n')[1]?.match(/\{.*\}/s)?.[0] ?? '{}') as Record<string, string>
    expect(seen).toMatchObject({ 'x-plain': '2', 'x-comfreyspoke-attempt': '1', 'x-comfreyspoke-hops': '1' })
    for (const name of ['x-private', 'te', 'proxy-authorization', 'x-comfreyspoke-class', 'x-comfreyspoke-target', 'x-comfreyspoke-verdict']) {
      expect(seen).not.toHaveProperty(name)
    }
    expect(origin).toContain('127.0.0.1')
  })
})
