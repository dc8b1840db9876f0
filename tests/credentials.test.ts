/**
 * Guards the peer port against clients that are not authorized: with TLS files set, a client without a
 * certificate of the certificate authority must not get a response.
 */
import { afterEach, beforeAll, describe, expect, test } from '@jest/globals'
import type { Server } from '@grpc/grpc-js'
import { Dialer, loadCredentials, MsgpackCodec, PeerClient, startPeerServer } from '../src/peer/index.js'
import type { PeerCredentials, TlsFiles } from '../src/peer/index.js'
import { findBlock } from '../standins/layout/processes.js'
import { makeCertificate } from './fixtures/certificate.js'

let ip = ''
let port = 7500
beforeAll(async () => { ip = `127.${await findBlock()}.1.1` })

const closers: Array<() => void> = []
afterEach(() => { for (const close of closers.splice(0)) close() })

async function makeCredentials (files: TlsFiles): Promise<PeerCredentials> {
  return (await loadCredentials(files)).unwrap()
}

async function servePeer (credentials: PeerCredentials): Promise<string> {
  const fail = (): never => { throw new Error('this test does not call this method') }
  const handlers = { exchange: fail, status: fail, explain: fail, timeline: () => ({ events: [] }), drain: fail }
  const address = `${ip}:${port++}`
  const server: Server = await startPeerServer(address, new MsgpackCodec(), handlers, credentials.server)
  closers.push(() => { server.forceShutdown() })
  return address
}

function makeClient (credentials: PeerCredentials): PeerClient {
  const client = new PeerClient(new MsgpackCodec(), new Dialer(), credentials.client)
  closers.push(() => { client.close() })
  return client
}

describe('credentials of the peer port', () => {
  test('a client with a certificate of the authority gets a response', async () => {
    const credentials = await makeCredentials(makeCertificate(ip))
    const address = await servePeer(credentials)
    expect((await makeClient(credentials).queryTimeline(address)).ok).toBe(true)
  })

  test.each([
    ['without TLS', async (): Promise<PeerCredentials> => await makeCredentials({})],
    ['with a certificate of another authority', async (): Promise<PeerCredentials> => await makeCredentials(makeCertificate(ip))]
  ])('a client %s gets no response', async (_name, make) => {
    const address = await servePeer(await makeCredentials(makeCertificate(ip)))
    const response = await makeClient(await make()).queryTimeline(address)
    expect(response.err && response.val.code).toBe('unreachable')
  })

  test('an incomplete set of TLS files is rejected', async () => {
    const { ca } = makeCertificate(ip)
    const loaded = await loadCredentials({ ca })
    expect(loaded.err && loaded.val.message).toBe('settings --tls-ca, --tls-cert and --tls-key must be set together')
  })
})
