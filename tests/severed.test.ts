/**
 * Guards against nodes that lose each other when the open connections between them go silent for good, while new ones work: a change of
 * a host that does not reach its peers, and requests that go on waiting on silent connections.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import type { Server } from '@grpc/grpc-js'
import { Agent, request } from 'undici'
import { SeededRandom, SystemClock } from '../src/core/index.js'
import { markHostLeaving } from '../src/membership/index.js'
import { storeLocalRecord, storeRecords } from '../src/node/commands/records.js'
import type { NodeState } from '../src/node/state.js'
import { EMPTY_PAYLOAD, PeerSynchronizer } from '../src/node/tasks/peers.js'
import { Dialer, MsgpackCodec, PeerClient, startPeerServer } from '../src/peer/index.js'
import { findFreeAddress } from './fixtures/address.js'
import { startLink } from './fixtures/link.js'
import type { SilentLink } from './fixtures/link.js'
import { makeNullLog } from './fixtures/log.js'
import { startMesh } from './fixtures/mesh.js'
import { makeState } from './fixtures/state.js'

/** The time within which a target that leaves must get no new requests. */
const DRAIN_MS = 2_500
const CHECK_INTERVAL_MS = 20
/** Before a call to a peer is given up. */
const LATE_EXCHANGE_MS = 900

const codec = new MsgpackCodec()
const clock = new SystemClock()

let link: SilentLink
let stopped: AbortController
const closers: Array<() => void | Promise<void>> = []

beforeEach(() => { stopped = new AbortController() })

afterEach(async () => {
  stopped.abort()
  for (const close of closers.splice(0).reverse()) await close()
  link.close()
})

/** Sends all calls to the one peer through the link. */
class LinkDialer extends Dialer {
  override resolve (): string {
    return link.address
  }
}

function startPeers (state: NodeState): PeerSynchronizer {
  const client = new PeerClient(codec, new LinkDialer())
  closers.push(() => { client.close() })
  return new PeerSynchronizer({ state, transport: client, clock, random: new SeededRandom(1), log: makeNullLog(), onConfiguration: () => {} })
}

async function serve (peer: string, peers: PeerSynchronizer): Promise<Server> {
  const throwUnexpected = (): never => { throw new Error('not called in this test') }
  const server = await startPeerServer(peer, codec, {
    exchange: exchange => peers.respond(exchange),
    status: throwUnexpected,
    timeline: throwUnexpected,
    explain: throwUnexpected,
    drain: throwUnexpected
  })
  closers.push(() => { server.forceShutdown() })
  return server
}

test('a host that leaves after the connections to its peer went silent is leaving there in time', async () => {
  const address = await findFreeAddress()
  link = await startLink(address)
  const [owner, other] = [makeState({ host: 'h1' }, clock), makeState({ host: 'h2', peer: address }, clock)]
  const [ownerPeers, otherPeers] = [startPeers(owner), startPeers(other)]
  await serve(address, otherPeers)
  storeLocalRecord(owner, owner.localHost.makeRecord(), clock)
  storeRecords(owner, { records: [other.localHost.makeRecord()] }, clock)
  void ownerPeers.exchangePeriodically(stopped.signal)
  await ownerPeers.notifyPeers({ records: [owner.localHost.newestRecord ?? owner.localHost.makeRecord()] }, 'many')
  expect(other.members.get('h1')?.state).toBe('serving')
  link.silence()
  const record = markHostLeaving(owner.localHost)
  if (record === undefined) throw new Error('the record did not change')
  storeLocalRecord(owner, record, clock)
  void ownerPeers.notifyPeers({ records: [record] }, 'many')
  const endsAt = performance.now() + DRAIN_MS
  while (other.members.get('h1')?.state !== 'leaving' && performance.now() < endsAt) await delay(CHECK_INTERVAL_MS)
  expect(other.members.get('h1')?.state).toBe('leaving')
})

/**
 * An exchange that begins on a silent connection right before the notification fails is lost as well, and the next one may begin only
 * 1.5 s after its end.
 */
test('a host that leaves is leaving at its peer in time, also if no other exchange brings its record there', async () => {
  const address = await findFreeAddress()
  link = await startLink(address)
  const [owner, other] = [makeState({ host: 'h1' }, clock), makeState({ host: 'h2', peer: address }, clock)]
  const [ownerPeers, otherPeers] = [startPeers(owner), startPeers(other)]
  await serve(address, otherPeers)
  storeLocalRecord(owner, owner.localHost.makeRecord(), clock)
  storeRecords(owner, { records: [other.localHost.makeRecord()] }, clock)
  await ownerPeers.notifyPeers({ records: [owner.localHost.newestRecord ?? owner.localHost.makeRecord()] }, 'many')
  link.silence()
  const record = markHostLeaving(owner.localHost)
  if (record === undefined) throw new Error('the record did not change')
  storeLocalRecord(owner, record, clock)
  const notified = ownerPeers.notifyPeers({ records: [record] }, 'many')
  await delay(LATE_EXCHANGE_MS)
  const exchanged = ownerPeers.exchange(other.localHost.makeRecord(), EMPTY_PAYLOAD)
  const endsAt = performance.now() + DRAIN_MS - LATE_EXCHANGE_MS
  while (other.members.get('h1')?.state !== 'leaving' && performance.now() < endsAt) await delay(CHECK_INTERVAL_MS)
  expect(other.members.get('h1')?.state).toBe('leaving')
  await Promise.all([notified, exchanged])
})

test('a request on a silent connection between nodes ends at its deadline, and the next ones are served on new connections', async () => {
  const agent = new Agent()
  const mesh = await startMesh({ targets: [(_, response) => { response.end('ok') }] })
  closers.push(async () => { await mesh.close() }, async () => { await agent.destroy() })
  link = await startLink(mesh.inbound[0] ?? '')
  mesh.setInbound([link.address])
  const send = async (): Promise<number> => {
    const response = await request(`http://${mesh.caller}/quick`, { dispatcher: agent, headers: { 'x-comfreyspoke-service': 'desk' } })
    await response.body.dump()
    return response.statusCode
  }
  expect(await Promise.all([send(), send(), send()])).toEqual([200, 200, 200])
  link.silence()
  const startedAt = performance.now()
  expect(await send()).toBe(504)
  expect(performance.now() - startedAt).toBeLessThan(600)
  expect(await Promise.all([send(), send(), send()])).toEqual([200, 200, 200])
})
