/**
 * Guards against a node that keeps an old version because the store rejects its requests while it serves
 * other nodes, against dead hosts that are never removed, and against one bad record that makes a peer reject a whole message.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, expect, test } from '@jest/globals'
import type { Server } from '@grpc/grpc-js'
import { SeededRandom, SystemClock } from '../src/core/index.js'
import type { Clock } from '../src/core/index.js'
import { REMOVE_UNREACHABLE_AFTER_MS } from '../src/membership/index.js'
import type { HostRecord } from '../src/membership/index.js'
import { applyConfiguration } from '../src/node/commands/apply.js'
import { storeLocalRecord, storeRecords } from '../src/node/commands/records.js'
import type { NodeState } from '../src/node/state.js'
import { PeerSynchronizer } from '../src/node/tasks/peers.js'
import { Dialer, MsgpackCodec, PeerClient, startPeerServer } from '../src/peer/index.js'
import type { PeerTransport } from '../src/peer/index.js'
import { findFreeAddress } from './fixtures/address.js'
import { makeInProcessTransport } from './fixtures/transport.js'
import { makeClock } from './fixtures/clock.js'
import { makeEntry } from './fixtures/entry.js'
import { makeNullLog } from './fixtures/log.js'
import { settleTasks } from './fixtures/member.js'
import { makeRecord } from './fixtures/records.js'
import { makeState } from './fixtures/state.js'

interface TestNode { state: NodeState, peers: PeerSynchronizer, server: Server, client: PeerClient }

const codec = new MsgpackCodec()
const stop = new AbortController()
const nodes: TestNode[] = []

function makePeers (state: NodeState, transport: PeerTransport, clock: Clock): PeerSynchronizer {
  const random = new SeededRandom(nodes.length + 1)
  return new PeerSynchronizer({
    state, transport, clock, random, log: makeNullLog(), onConfiguration: configuration => { applyConfiguration(state, configuration) }
  })
}

async function startNode (host: string, zone: string): Promise<TestNode> {
  const peer = await findFreeAddress()
  const clock = new SystemClock()
  const state = makeState({ host, zone, region: zone, peer }, clock)
  storeLocalRecord(state, state.localHost.makeRecord(), clock)
  const client = new PeerClient(codec, new Dialer())
  const peers = makePeers(state, client, clock)
  const throwUnexpected = (): never => { throw new Error('not called in this test') }
  const server = await startPeerServer(peer, codec, {
    exchange: request => peers.respond(request),
    status: throwUnexpected,
    timeline: throwUnexpected,
    explain: throwUnexpected,
    drain: throwUnexpected
  })
  const node = { state, peers, server, client }
  nodes.push(node)
  return node
}

function makeConfiguration (version: number) {
  return { version, entries: [makeEntry('desk', version)], replacesAll: true }
}

afterEach(() => {
  stop.abort()
  for (const { server, client } of nodes) {
    client.close()
    server.forceShutdown()
  }
})

test('a node that the store rejects receives a version from a node of another region, and both nodes receive the records', async () => {
  const [first, second] = [await startNode('h1', 'a'), await startNode('h2', 'b')]
  storeLocalRecord(second.state, first.state.localHost.makeRecord(), new SystemClock())
  second.state.hasSource = false
  void second.peers.exchangePeriodically(stop.signal)
  applyConfiguration(first.state, makeConfiguration(7))
  await delay(2_000)
  expect(second.state.version).toBe(7)
  expect(first.state.members.get('h2')).toBeDefined()
  applyConfiguration(first.state, makeConfiguration(9))
  await delay(2_000)
  expect(second.state.version).toBe(9)
})

test('a record that no schema allows hides neither the other records of a message nor the version of its sender', async () => {
  const [first, second] = [await startNode('h1', 'a'), await startNode('h2', 'a')]
  const odd = { ...makeRecord('odd'), inbound: '127.0.0.1:70000' }
  storeRecords(first.state, { records: [odd, makeRecord('good')] }, new SystemClock())
  applyConfiguration(first.state, makeConfiguration(9))
  const [toFirst, toSecond] = [first, second].map(({ state }) => state.localHost.newestRecord) as [HostRecord, HostRecord]
  await first.peers.exchange(toSecond, { records: [odd, makeRecord('good')], cleared: [] })
  expect([second.state.members.get('good')?.host, second.state.members.get('odd')]).toEqual(['good', undefined])
  storeRecords(first.state, { records: [makeRecord('late')] }, new SystemClock())
  second.state.hasSource = false
  await second.peers.exchange(toFirst, { records: [], cleared: [] })
  expect([second.state.members.get('late')?.host, second.state.members.get('odd'), second.state.version]).toEqual(['late', undefined, 9])
})

interface Survivor { state: NodeState, peers: PeerSynchronizer, removed: string[] }

async function loseHost (isReachable: () => boolean): Promise<Survivor> {
  const clock = makeClock()
  const [state, other] = [makeState({}, clock), makeState({ host: 'h2' }, clock)]
  const record = other.localHost.makeRecord()
  storeRecords(state, { records: [record] }, clock)
  const otherPeers = makePeers(other, makeInProcessTransport('h2', () => undefined), clock)
  const peers = makePeers(state, makeInProcessTransport('h1', () => isReachable() ? otherPeers : undefined), clock)
  const removed: string[] = []
  const ended = new AbortController()
  void peers.removeUnreachable(host => { removed.push(host) }, ended.signal)
  await peers.exchange(record, { records: [], cleared: [] })
  for (let passed = 0; passed < REMOVE_UNREACHABLE_AFTER_MS / 2; passed += 10_000) await advance(clock)
  await peers.exchange(record, { records: [], cleared: [] })
  for (let passed = 0; passed <= REMOVE_UNREACHABLE_AFTER_MS / 2; passed += 10_000) await advance(clock)
  ended.abort()
  return { state, peers, removed }
}

async function advance (clock: ReturnType<typeof makeClock>): Promise<void> {
  clock.advance(10_000)
  await settleTasks()
}

test('a host that does not respond for a long time is removed, and its late record does not restore it', async () => {
  const { state, removed } = await loseHost(() => false)
  expect(removed).toEqual(['h2'])
  expect(state.members.get('h2')).toBeUndefined()
  const { record } = state.members.listTombstones()[0] as { record: HostRecord }
  storeRecords(state, { records: [{ ...record, gone: undefined }] }, makeClock())
  expect(state.members.get('h2')).toBeUndefined()
})

test('a host that responds in between is kept', async () => {
  let calls = 0
  const { state, removed } = await loseHost(() => {
    calls += 1
    return calls > 1
  })
  expect([removed, state.members.get('h2')?.host]).toEqual([[], 'h2'])
})
