/**
 * Guards against a proxy that buffers large bodies in memory, waits for the end of an upload before it forwards the response, loses
 * trailers, continues requests whose caller disconnected, or presents a truncated response as a complete one.
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

async function countBytes (message: IncomingMessage, onReceived: (received: number) => void = () => {}): Promise<number> {
  let bytes = 0
  for await (const chunk of message) {
    bytes += (chunk as Buffer).length
    onReceived(bytes)
  }
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

/** Resolves when the value no longer changes. */
async function awaitStable (read: () => number): Promise<number> {
  for (let last = -1; ;) {
    const current = read()
    if (current === last) return current
    last = current
    await delay(400)
  }
}

describe.each(['local', 'remote'] as const)('%s path', path => {
  test('backpressure: a large upload waits for a target that does not read, and the bytes on the way stay bounded', async () => {
    let release = (): void => {}
    const released = new Promise<void>(resolve => { release = resolve })
    let received = 0
    const origin = await open((message, response) => {
      void released.then(async () => { response.end(String(await countBytes(message, bytes => { received = bytes }))) })
    }, { path })
    let sent = 0
    let mostOnTheWay = 0
    const size = 256 * MEBIBYTE
    const countSent = (bytes: number): void => {
      sent = bytes
      mostOnTheWay = Math.max(mostOnTheWay, sent - received)
    }
    const response = request(`${origin}/read/x`, { method: 'PUT', dispatcher: agent, headers: SERVICE_HEADER, body: makeChunks(size, countSent) })
    expect(await awaitStable(() => sent)).toBeLessThan(32 * MEBIBYTE)
    release()
    expect(await (await response).body.text()).toBe(String(size))
    expect(mostOnTheWay).toBeLessThan(32 * MEBIBYTE)
  })

  test('backpressure: a large response waits for a caller that does not read', async () => {
    let sent = 0
    const size = 128 * MEBIBYTE
    const origin = await open((_, response) => {
      const write = async (): Promise<void> => {
        for await (const chunk of makeChunks(size, bytes => { sent = bytes })) if (!response.write(chunk)) await once(response, 'drain')
        response.end()
      }
      void write()
    }, { path })
    const response = await request(`${origin}/read`, { dispatcher: agent, headers: SERVICE_HEADER })
    expect(await awaitStable(() => sent)).toBeLessThan(32 * MEBIBYTE)
    let received = 0
    for await (const chunk of response.body) received += (chunk as Buffer).length
    expect(received).toBe(size)
  })

  test('a response that starts before the end of the upload reaches the caller', async () => {
    const origin = await open((_, response) => {
      response.writeHead(403)
      response.end('no more photos')
    }, { path })
    const upload = sendRequest(`${origin}/write`, { method: 'POST', headers: SERVICE_HEADER })
    upload.on('error', () => {})
    upload.write('the first part')
    const [response] = await once(upload, 'response') as [IncomingMessage]
    expect(response.statusCode).toBe(403)
    expect(await text(response)).toBe('no more photos')
    upload.destroy()
  })

  test.each([['streamed', 0], ['held whole', 64 * 1024]])('trailers of a response that is %s are forwarded', async (_name, responseBufferBytes) => {
    const origin = await open((_, response) => {
      response.writeHead(200, { trailer: 'x-sum' })
      response.write('body')
      response.addTrailers({ 'x-sum': '42' })
      response.end()
    }, { path, responseBufferBytes })
    const response = await request(`${origin}/read`, { dispatcher: agent, headers: SERVICE_HEADER })
    expect(await response.body.text()).toBe('body')
    expect(response.trailers).toEqual({ 'x-sum': '42' })
  })

  /** A caller would take 504 for a target that is too slow, and a newer version may have raised the limit. */
  test.each([['413', false], ['503', true]])('a body in chunks that is read whole and exceeds the limit of its route gets %s', async (status, isOutdated) => {
    const origin = await open((_, response) => { response.end() }, { path })
    Object.assign(mesh.context, { requestBufferBytes: 64 * 1024, isOutdated: () => isOutdated })
    const body = Readable.from(['a'.repeat(600), 'a'.repeat(600)], { objectMode: false })
    const response = await request(`${origin}/small`, { method: 'POST', dispatcher: agent, headers: SERVICE_HEADER, body })
    expect([String(response.statusCode), (await response.body.json() as { verdict: string }).verdict]).toEqual([status, 'not-run'])
  })

  test.each([['HEAD', 200], ['GET', 204], ['GET', 304]] as const)('a response to %s with status %i has no body and leaves the connection usable', async (method, status) => {
    const origin = await open((_, response) => {
      response.writeHead(status, status === 204 ? { 'x-kept': 'yes' } : { 'x-kept': 'yes', 'content-length': '5' })
      response.end()
    }, { path })
    const keepAlive = new HttpAgent({ keepAlive: true, maxSockets: 1 })
    for (let round = 0; round < 2; round += 1) {
      const sent = sendRequest(`${origin}/read`, { method, agent: keepAlive, headers: SERVICE_HEADER })
      sent.end()
      const [response] = await once(sent, 'response') as [IncomingMessage]
      expect({ status: response.statusCode, kept: response.headers['x-kept'], body: await text(response) }).toEqual({ status, kept: 'yes', body: '' })
    }
    keepAlive.destroy()
  })

  test('a caller that expects 100-continue receives it if its request is acceptable, and a rejection otherwise', async () => {
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
      const [response] = await once(upload, 'response') as [IncomingMessage]
      response.resume()
      upload.destroy()
      return { status: response.statusCode, continued }
    }
    expect(await send(500)).toEqual({ status: 200, continued: true })
    expect(await send(5_000)).toEqual({ status: 413, continued: false })
  })

  test('when the caller disconnects, the connection to the target is closed and the slot is released', async () => {
    let resolve = (_: ServerResponse): void => {}
    const received = new Promise<ServerResponse>(_resolve => { resolve = _resolve })
    const origin = await open((_, response) => { resolve(response) }, { path })
    const abort = new AbortController()
    const pending = request(`${origin}/read`, { dispatcher: agent, headers: SERVICE_HEADER, signal: abort.signal })
    pending.catch(() => {})
    const response = await received
    const closed = once(response, 'close')
    abort.abort()
    await closed
    while (mesh.localTargets[0]?.countUsedSlots() !== 0) await delay(5)
  })

  test('the deadline is forwarded less the elapsed time, and applies while the body streams', async () => {
    const deadlines: number[] = []
    const origin = await open((message, response) => {
      deadlines.push(Number(message.headers['x-comfreyspoke-deadline-ms']))
      response.write('a part, and then nothing')
    }, { path })
    const response = await request(`${origin}/read`, { dispatcher: agent, headers: { ...SERVICE_HEADER, 'x-comfreyspoke-deadline-ms': '400' } })
    await expect(response.body.text()).rejects.toThrow()
    expect(deadlines[0]).toBeGreaterThan(0)
    expect(deadlines[0]).toBeLessThan(400)
  })

  test('a truncated response resets the connection of the caller, whatever the framing', async () => {
    const origin = await open((message, response) => {
      const isSized = message.url === '/read/sized'
      response.writeHead(200, isSized ? { 'content-length': '1000' } : {})
      response.write('part', () => { setImmediate(() => { response.socket?.destroy() }) })
    }, { path })
    for (const url of ['/read/sized', '/read/chunked']) {
      const response = request(`${origin}${url}`, { dispatcher: agent, headers: SERVICE_HEADER })
      await expect(response.then(async ({ body }) => await body.text())).rejects.toThrow()
    }
    // A caller with HTTP/1.0 would take a regular close as the end of a complete response.
    const socket = await openRawConnection(mesh.caller)
    const raw = readRawResponse(socket)
    socket.write('GET /read/chunked HTTP/1.0\r\nx-comfreyspoke-service: desk\r\n\r\n')
    expect((await raw).wasReset).toBe(true)
  })

  test('a body that exceeds the limit of its route is rejected while it streams', async () => {
    const origin = await open((message, response) => { void countBytes(message).then(() => { response.end() }, () => {}) }, { path })
    const response = await request(`${origin}/small`, { method: 'POST', dispatcher: agent, headers: SERVICE_HEADER, body: makeChunks(MEBIBYTE) })
    expect({ status: response.statusCode, failure: await response.body.json() }).toMatchObject({ status: 413, failure: { verdict: 'may-have-run' } })
  })

  test('hop-by-hop headers and headers internal to nodes are not forwarded from callers', async () => {
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
