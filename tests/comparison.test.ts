/**
 * Guards against a starting node that never becomes ready, or that compares its version only with nodes that started together with it,
 * and against a node that counts as outdated for ever.
 */
import { afterEach, expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import type { Fault, Result } from '../src/core/index.js'
import { applyConfiguration } from '../src/node/commands/apply.js'
import { storeRecords } from '../src/node/commands/records.js'
import type { NodeState } from '../src/node/state.js'
import { PeerSynchronizer } from '../src/node/tasks/peers.js'
import { Dialer, MsgpackCodec, PeerClient, PeerTransport } from '../src/peer/index.js'
import type { ExchangeResponse } from '../src/peer/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeEntry } from './fixtures/entry.js'
import { makeNullLog } from './fixtures/log.js'
import { settleTasks } from './fixtures/member.js'
import { makeState } from './fixtures/state.js'
import { makeInProcessTransport } from './fixtures/transport.js'

const OLD = 9
const NEW = 11
const LONG_MS = 600_000

interface TestNode { state: NodeState, peers: PeerSynchronizer }

const clock = makeClock()
const nodes = new Map<string, TestNode>()

afterEach(() => { nodes.clear() })

class FailingTransport extends PeerTransport {
  override async exchange (): Promise<Result<ExchangeResponse, Fault>> {
    throw new Error('unexpected')
  }
}

function findPeer (_sender: string, address: string): PeerSynchronizer | undefined {
  return nodes.get(address)?.peers
}

function makeNode (host: string, zone: string, version: number, transport: PeerTransport = makeInProcessTransport(host, findPeer)): TestNode {
  const state = makeState({ host, zone }, clock)
  const apply = (next: number): void => { applyConfiguration(state, { version: next, entries: [makeEntry('desk', next)], replacesAll: true }) }
  const peers = new PeerSynchronizer({
    state, transport, clock, random: new SeededRandom(1), log: makeNullLog(), onConfiguration: configuration => { apply(configuration.version) }
  })
  apply(version)
  const records = [...nodes.values()].map(other => other.state.localHost.makeRecord())
  storeRecords(state, { records }, clock)
  state.knowsHosts = true
  nodes.set(host, { state, peers })
  return { state, peers }
}

test('an unexpected error of an exchange does not leave a starting node unready for ever', async () => {
  makeNode('a', 'z', NEW)
  const { state, peers } = makeNode('b', 'z', OLD, new FailingTransport())
  await peers.compareVersions().catch(() => {})
  clock.advance(LONG_MS)
  await settleTasks()
  await peers.compareVersions().catch(() => {})
  expect(state.isReady).toBe(true)
})

test('a call to a peer whose record has no valid address is a failed call', async () => {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const called = client.exchange('', { host: 'a', version: 0, wantsConfiguration: false, zones: {}, records: [], marks: [], cleared: [], stamp: { wall: 0, counter: 0 } })
  await expect(called).resolves.toMatchObject({ err: true })
  client.close()
})

test('a node of a zone that starts as a whole compares its version with another zone, too', async () => {
  makeNode('x', 'other', NEW)
  for (const host of ['a', 'b', 'c']) makeNode(host, 'z', OLD)
  const { state, peers } = makeNode('d', 'z', OLD)
  await peers.compareVersions()
  expect([state.isReady, state.version]).toEqual([true, NEW])
})

test('a version that no peer reports any more does not leave a node outdated for ever', () => {
  const { state, peers } = makeNode('a', 'z', OLD)
  const { peers: other } = makeNode('b', 'z', NEW)
  expect(other).not.toBe(peers)
  peers.respond({ host: 'b', version: NEW, wantsConfiguration: false, zones: {}, records: [nodes.get('b')?.state.localHost.makeRecord() ?? state.localHost.makeRecord()], marks: [], cleared: [], stamp: { wall: 0, counter: 0 } })
  expect(state.isOutdated).toBe(true)
  clock.advance(LONG_MS)
  expect(state.isOutdated).toBe(false)
})
