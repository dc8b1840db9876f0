/**
 * Guards against a node that starts after the store was restored from an older copy, takes the older version from there, and serves
 * callers by it although its peers have a newer version in force; against one that never becomes ready, or compares its version only
 * with nodes that started together with it; and against one that counts as outdated for ever.
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
const COMPARISON_LIMIT_MS = 500
const LONG_MS = 600_000

interface TestNode { state: NodeState, peers: PeerSynchronizer }

const clock = makeClock()
const nodes = new Map<string, TestNode>()

afterEach(() => { nodes.clear() })

class SilentTransport extends PeerTransport {
  override async exchange (): Promise<Result<ExchangeResponse, Fault>> {
    return await new Promise(() => {})
  }
}

function findPeer (_sender: string, address: string): PeerSynchronizer | undefined {
  return nodes.get(address)?.peers
}

class FailingTransport extends PeerTransport {
  override async exchange (): Promise<Result<ExchangeResponse, Fault>> {
    throw new Error('unexpected')
  }
}

interface NodeOptions { zone?: string, transport?: PeerTransport }

function makeNode (host: string, { zone = 'z', transport = makeInProcessTransport(host, findPeer) }: NodeOptions = {}): TestNode {
  const state = makeState({ host, zone }, clock)
  const apply = (version: number): void => { applyConfiguration(state, { version, entries: [makeEntry('desk', version)], replacesAll: true }) }
  const peers = new PeerSynchronizer({
    state,
    transport,
    clock,
    random: new SeededRandom(1),
    log: makeNullLog(),
    onConfiguration: ({ version }) => { apply(version) }
  })
  nodes.set(host, { state, peers })
  return { state, peers }
}

/** Starts a node that has read a version and the records of the other hosts from the store. */
function startNode (host: string, version: number, options: NodeOptions = {}): TestNode {
  const node = makeNode(host, options)
  applyConfiguration(node.state, { version, entries: [makeEntry('desk', version)], replacesAll: true })
  const records = [...nodes.values()].map(({ state }) => state.localHost.makeRecord())
  storeRecords(node.state, { records }, clock)
  node.state.knowsHosts = true
  return node
}

test('a starting node is ready only with the version that its peers have in force', async () => {
  startNode('a', NEW)
  startNode('b', OLD)
  const { state, peers } = startNode('c', OLD)
  expect(state.isReady).toBe(false)
  const compared = peers.compareState()
  expect(state.isReady).toBe(false)
  await compared
  expect([state.isReady, state.version]).toEqual([true, NEW])
})

test('the first node of a fleet is ready at once', async () => {
  const { state, peers } = startNode('a', OLD)
  await peers.compareState()
  expect(state.isReady).toBe(true)
})

test('a node whose peers do not respond is ready after a limited time', async () => {
  startNode('a', NEW)
  const { state, peers } = startNode('b', OLD, { transport: new SilentTransport() })
  const compared = peers.compareState()
  await settleTasks()
  expect(state.isReady).toBe(false)
  clock.advance(COMPARISON_LIMIT_MS)
  await compared
  expect(state.isReady).toBe(true)
})

test('a node that gets its version and the hosts from a peer alone becomes ready', async () => {
  startNode('a', NEW)
  const { state, peers } = makeNode('b')
  const record = nodes.get('a')?.state.localHost.makeRecord()
  if (record === undefined) throw new Error('the peer has no record')
  await peers.exchange(record, { records: [], cleared: [] })
  await settleTasks()
  expect([state.isReady, state.version]).toEqual([true, NEW])
})

test('an unexpected error of an exchange does not leave a starting node unready for ever', async () => {
  startNode('a', NEW)
  const { state, peers } = startNode('b', OLD, { transport: new FailingTransport() })
  await peers.compareState().catch(() => {})
  clock.advance(LONG_MS)
  await settleTasks()
  await peers.compareState().catch(() => {})
  expect(state.isReady).toBe(true)
})

test('a call to a peer whose record has no valid address is a failed call', async () => {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const called = client.exchange('', { host: 'a', version: 0, wantsConfiguration: false, zones: {}, records: [], cleared: [], stamp: { wall: 0, counter: 0 } })
  await expect(called).resolves.toMatchObject({ err: true })
  client.close()
})

test('a node of a zone that starts as a whole compares its version with another zone, too', async () => {
  startNode('x', NEW, { zone: 'other' })
  for (const host of ['a', 'b', 'c']) startNode(host, OLD)
  const { state, peers } = startNode('d', OLD)
  await peers.compareState()
  expect([state.isReady, state.version]).toEqual([true, NEW])
})

test('a version that no peer reports any more does not leave a node outdated for ever', () => {
  const { state, peers } = startNode('a', OLD)
  const records = [startNode('b', NEW).state.localHost.makeRecord()]
  peers.respond({ host: 'b', version: NEW, wantsConfiguration: false, zones: {}, records, cleared: [], stamp: { wall: 0, counter: 0 } })
  expect(state.isOutdated).toBe(true)
  clock.advance(LONG_MS)
  expect(state.isOutdated).toBe(false)
})
