/**
 * Guards against a test client that takes a reset for an end, since a proof that reads with it would
 * then see a cut answer as whole.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { openRawConnection, readRawResponse } from './fixtures/raw.js'
import type { RawResponse } from './fixtures/raw.js'

const ANSWER = 'HTTP/1.1 200 OK\r\n\r\npart'

let server: Server

async function receive (answer: (socket: Socket) => void): Promise<RawResponse> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { answer(socket) })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = await openRawConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  const read = readRawResponse(socket)
  socket.write('ask')
  return await read
}

afterEach(() => { server.close() })

test('a reset that arrives together with the last data is seen as one', async () => {
  const { text, wasReset } = await receive(socket => {
    socket.write(ANSWER, () => {
      socket.resetAndDestroy()
      // Both arrive before the receiver is asked for data again.
      const endsAt = Date.now() + 50
      while (Date.now() < endsAt);
    })
  })
  expect({ text, wasReset }).toEqual({ text: ANSWER, wasReset: true })
})

test('an end after the last data is no reset', async () => {
  const { text, wasReset } = await receive(socket => { socket.end(ANSWER) })
  expect({ text, wasReset }).toEqual({ text: ANSWER, wasReset: false })
})
