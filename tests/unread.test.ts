/**
 * Guards against an unhandled error that ends the process when a target resets the connection during a response that is no longer read.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Readable } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import { UndiciHttpClient } from '../src/request/index.js'

test('a truncated response that is no longer read does not end the process', async () => {
  const server = createServer((_message, response) => {
    response.writeHead(503, { 'content-length': 100 })
    response.write('part')
    setTimeout(() => { response.socket?.resetAndDestroy() }, 20)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = new UndiciHttpClient(1)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const sent = await client.send({ address, method: 'GET', path: '/', headers: {}, body: undefined, signal: new AbortController().signal })
  if (sent.err) throw new Error(sent.val.message)
  const body = sent.val.body as Readable
  body.resume()
  await delay(100)
  expect(body.errored).toBeInstanceOf(Error)
  await client.close()
  server.close()
})
