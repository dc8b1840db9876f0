/**
 * Guards against an address at which no connection can be opened, such as one with a port out of range: to open one may throw, which
 * would end the request of a caller without a response, or a task of the node.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { request } from 'undici'
import { MsgpackCodec, Dialer, PeerClient } from '../src/peer/index.js'
import { UndiciHttpClient } from '../src/request/index.js'
import { addressSchema } from '../src/core/index.js'
import { startMesh } from './fixtures/mesh.js'

const ODD_ADDRESSES = [
  '127.0.0.1:0', '127.0.0.1:70000', '127.0.0.1:99999999', '127.0.0.1:-1', '127.0.0.1:1e3', '127.0.0.1:', '127.0.0.1', '999.1.1.1:80', '...:80', '', ':', 'http://a:80', '127.0.0.1:80/a', 'a b:80'
]

let client: UndiciHttpClient

beforeEach(() => { client = new UndiciHttpClient(1) })

afterEach(async () => { await client.close() })

test.each(ODD_ADDRESSES)('%j is no address', text => {
  expect(addressSchema.safeParse(text).success).toBe(false)
})

test.each(['127.0.0.1:1', '10.128.0.9:65535', '0.0.0.0:7401'])('%j is an address', text => {
  expect(addressSchema.parse(text)).toBe(text)
})

test.each(ODD_ADDRESSES)('a request to %j fails as not run', async address => {
  const sent = await client.send({ address, method: 'GET', path: '/', headers: {}, body: undefined, signal: AbortSignal.timeout(2_000), bufferBytes: 0 })
  expect(sent.val).toMatchObject({ verdict: 'not-run', status: 503, code: 'not_connected' })
})

test.each(ODD_ADDRESSES)('an exchange with a peer at %j fails as unreachable', async address => {
  const peers = new PeerClient(new MsgpackCodec(), new Dialer())
  const response = await peers.queryStatus(address)
  expect(response.err && response.val.code).toBe('unreachable')
  peers.close()
})

test('a target behind an address to which no connection can be opened costs its caller nothing but another attempt', async () => {
  const mesh = await startMesh({ targets: [(_message, response) => { response.end('whole') }, (_message, response) => { response.end('whole') }] })
  mesh.setInbound(['127.0.0.1:70000'])
  for (let round = 0; round < 20; round += 1) {
    const response = await request(`http://${mesh.caller}/write`, { method: 'POST', headers: { 'x-comfreyspoke-service': 'desk' } })
    expect([response.statusCode, await response.body.text()]).toEqual([200, 'whole'])
  }
  await mesh.close()
})
