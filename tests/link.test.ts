/**
 * Guards against a truncated response that is taken for complete: a close-delimited response whose connection is reset,
 * or a chunked response whose connection ends before the last chunk.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { buffer } from 'node:stream/consumers'
import { afterEach, describe, expect, test } from '@jest/globals'
import { UndiciHttpClient } from '../src/request/index.js'

let server: Server
let client: UndiciHttpClient

async function receive (bufferBytes: number, respond: (socket: Socket) => void): Promise<string> {
  server = createServer(socket => { socket.once('data', () => { respond(socket) }) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  client = new UndiciHttpClient(1)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const sent = await client.send({ address, method: 'GET', path: '/', headers: {}, body: undefined, signal: new AbortController().signal, bufferBytes })
  if (sent.err) throw new Error(sent.val.message)
  const { body } = sent.val
  return (Buffer.isBuffer(body) ? body : await buffer(body)).toString()
}

afterEach(async () => {
  await client.close()
  server.close()
})

const CLOSE_DELIMITED = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart'
const CHUNKED = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n'

describe.each([['streamed', 0], ['buffered', 65_536]])('a response that is %s', (_name, bufferBytes) => {
  test('a close-delimited response is complete when its connection ends', async () => {
    expect(await receive(bufferBytes, socket => { socket.end(CLOSE_DELIMITED) })).toBe('part')
  })

  test('a close-delimited response is truncated when its connection is reset', async () => {
    await expect(receive(bufferBytes, socket => {
      socket.write(CLOSE_DELIMITED)
      setTimeout(() => { socket.resetAndDestroy() }, 50)
    })).rejects.toThrow()
  })

  test('a close-delimited response is truncated when its connection is reset together with the last data', async () => {
    await expect(receive(bufferBytes, socket => {
      socket.write(CLOSE_DELIMITED, () => {
        socket.resetAndDestroy()
        // The data and the reset both arrive before the client reads again.
        const endsAt = Date.now() + 50
        while (Date.now() < endsAt);
      })
    })).rejects.toThrow()
  })

  test.each(['identity', 'gzip', 'chunked, gzip'])('a response with the transfer coding %s is truncated when its connection is reset', async coding => {
    await expect(receive(bufferBytes, socket => {
      socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: ${coding}\r\n\r\npart`, () => {
        socket.resetAndDestroy()
        // The data and the reset both arrive before the client reads again.
        const endsAt = Date.now() + 50
        while (Date.now() < endsAt);
      })
    })).rejects.toThrow()
  })

  test('a chunked response is truncated when its connection ends before the last chunk', async () => {
    await expect(receive(bufferBytes, socket => { socket.end(CHUNKED) })).rejects.toThrow()
  })

  test('a chunked response is complete when its last chunk arrives before the end of its connection', async () => {
    expect(await receive(bufferBytes, socket => { socket.end(`${CHUNKED}0\r\n\r\n`) })).toBe('part')
  })
})
