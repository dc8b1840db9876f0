/**
 * Guards against work for callers that have disconnected: a request that stayed unread in a busy process while its caller disconnected
 * must not reach a target.
 */
import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import { startMesh } from './fixtures/mesh.js'

test.each(['local', 'remote'] as const)('a request whose caller disconnected before it was read reaches no target (%s path)', async path => {
  let runs = 0
  const mesh = await startMesh({ targets: [(_message, response) => { runs += 1; response.end() }], path })
  const [host = '', port = ''] = mesh.caller.split(':')
  for (let round = 0; round < 10; round += 1) {
    const socket = connect(Number(port), host)
    await once(socket, 'connect')
    await delay(5)
    socket.write('GET /read HTTP/1.1\r\nhost: desk\r\n\r\n', () => {
      socket.destroy()
      // Blocks the event loop, so that the node reads nothing until the caller has disconnected.
      const endsAt = Date.now() + 20
      while (Date.now() < endsAt);
    })
    await delay(50)
  }
  await mesh.close()
  expect(runs).toBe(0)
})
