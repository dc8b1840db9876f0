/**
 * Guards against a target or node whose status is no status of HTTP: its response must not reach a caller as one.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, test } from '@jest/globals'
import { startMesh } from './fixtures/mesh.js'
import type { Mesh } from './fixtures/mesh.js'
import { exchangeRaw } from './fixtures/raw.js'

const STATUS_LINES = [
  '000', '000 None', '001 Low', '042', '099', '099 Low', '99 Low', '1000', '1000 High', '2000 High', '600 High', '600', '799 High', '999 High', '-200 OK', '20 OK', '2xx OK'
]
const BODIES: Array<[string, string]> = [
  ['a length', 'content-length: 4\r\n\r\npart'],
  ['no body', 'content-length: 0\r\n\r\n'],
  ['chunks', 'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n'],
  ['no length', 'connection: close\r\n\r\npart']
]
const CASES = STATUS_LINES.flatMap(line => BODIES.map(([name, body]) => ({ line, name, body })))

let server: Server | undefined
let mesh: Mesh | undefined
const sockets = new Set<Socket>()

afterEach(async () => {
  await mesh?.close()
  server?.close()
  for (const socket of sockets) socket.destroy()
  mesh = undefined
})

async function startPeer (text: string): Promise<string> {
  const listening = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(text, () => { if (text.includes('connection: close')) setTimeout(() => { socket.end() }, 5) }) })
  })
  server = listening
  listening.listen(0, '127.0.0.1')
  await once(listening, 'listening')
  return `127.0.0.1:${(listening.address() as AddressInfo).port}`
}

async function startFaultyMesh (hop: string, text: string): Promise<Mesh> {
  const address = await startPeer(text)
  if (hop !== 'node of the target') {
    mesh = await startMesh({ targets: [address], path: hop === 'target on the same host' ? 'local' : 'remote', responseBufferBytes: 64 * 1024 })
  } else {
    mesh = await startMesh({ targets: [(_message, response) => { response.end('not called') }], responseBufferBytes: 64 * 1024 })
    mesh.setInbound([address])
  }
  return mesh
}

describe.each(['target', 'target on the same host', 'node of the target'])('from the %s', hop => {
  test.each(CASES)('a response with status "$line" and $name is no response', async ({ line, body }) => {
    const { caller, failures } = await startFaultyMesh(hop, `HTTP/1.1 ${line}\r\n${body}`)
    const startedAt = performance.now()
    const { status, verdict, text } = await exchangeRaw(caller, ['POST /write HTTP/1.1\r\nhost: a\r\nx-comfreyspoke-service: desk\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'], Infinity)
    expect({ status, verdict }).toEqual({ status: 502, verdict: 'may-have-run' })
    expect(text).not.toContain('part')
    expect(failures).toHaveLength(1)
    // The connection is given up at once, not at the deadline.
    expect(performance.now() - startedAt).toBeLessThan(5_000)
  })

  test.each([200, 299, 404, 503, 599])('a response with status %i is forwarded', async code => {
    const { caller } = await startFaultyMesh(hop, `HTTP/1.1 ${code} Some\r\ncontent-length: 4\r\n\r\nsome`)
    const { status, text } = await exchangeRaw(caller, ['POST /write HTTP/1.1\r\nhost: a\r\nx-comfreyspoke-service: desk\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'], Infinity)
    expect(status).toBe(code)
    expect(text.endsWith('some')).toBe(true)
  })
})
