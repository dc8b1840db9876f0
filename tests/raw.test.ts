/**
 * Guards against a test client that reports a reset as an end, since tests that use the client would then take a truncated
 * response for complete.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { openRawConnection, readRawResponse } from './fixtures/raw.js'
import type { RawResponse } from './fixtures/raw.js'

const RESPONSE = 'HTTP/1.1 200 OK\r\n\r\npart'

let server: Server

async function receive (respond: (socket: Socket) => void): Promise<RawResponse> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = await openRawConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  const read = readRawResponse(socket)
  socket.write('ask')
  return await read
}

afterEach(() => { server.close() })

test('a reset that arrives together with the last data is reported as a reset', async () => {
  const { text, wasReset } = await receive(socket => {
    socket.write(RESPONSE, () => {
      socket.resetAndDestroy()
      // The data and the reset both arrive before the client reads again.
      const endsAt = Date.now() + 50
      while (Date.now() < endsAt);
    })
  })
  expect({ text, wasReset }).toEqual({ text: RESPONSE, wasReset: true })
})

test('an end after the last data is not reported as a reset', async () => {
  const { text, wasReset } = await receive(socket => { socket.end(RESPONSE) })
  expect({ text, wasReset }).toEqual({ text: RESPONSE, wasReset: false })
})
