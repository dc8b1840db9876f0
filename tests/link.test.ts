/**
 * Guards against an answer that was cut on its way and passes for whole, because it has no length or
 * because its connection ends in the middle of a chunk.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { buffer } from 'node:stream/consumers'
import { afterEach, expect, test } from '@jest/globals'
import { UndiciHttpClient } from '../src/request/index.js'

let server: Server
let exchanger: UndiciHttpClient

async function receive (answer: (socket: Socket) => void): Promise<string> {
  server = createServer(socket => { socket.once('data', () => { answer(socket) }) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  exchanger = new UndiciHttpClient(1)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const sent = await exchanger.send({ address, method: 'GET', path: '/', headers: {}, body: undefined, signal: new AbortController().signal })
  if (sent.err) throw new Error(sent.val.message)
  return (await buffer(sent.val.body)).toString()
}

afterEach(async () => {
  await exchanger.close()
  server.close()
})

const UNFRAMED = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart'
const CHUNKED = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n'

test('an answer without a length is whole when its connection ends', async () => {
  expect(await receive(socket => { socket.end(UNFRAMED) })).toBe('part')
})

test('an answer without a length is cut when its connection is reset', async () => {
  await expect(receive(socket => {
    socket.write(UNFRAMED)
    setTimeout(() => { socket.resetAndDestroy() }, 50)
  })).rejects.toThrow()
})

test('an answer without a length is cut when its connection is reset together with the last data', async () => {
  await expect(receive(socket => {
    socket.write(UNFRAMED, () => {
      socket.resetAndDestroy()
      // Both arrive before the receiver is asked for data again.
      const endsAt = Date.now() + 50
      while (Date.now() < endsAt);
    })
  })).rejects.toThrow()
})

test('an answer in chunks is cut when its connection ends before the last one', async () => {
  await expect(receive(socket => { socket.end(CHUNKED) })).rejects.toThrow()
})

test('an answer in chunks is whole when its last chunk came before the end of its connection', async () => {
  expect(await receive(socket => { socket.end(`${CHUNKED}0\r\n\r\n`) })).toBe('part')
})
