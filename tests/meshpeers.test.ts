/**
 * Guards against a node that stays behind because the store refuses it while it serves others.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, expect, test } from '@jest/globals'
import type { Server } from '@grpc/grpc-js'
import { DecisionLog, SeededRandom, SystemClock } from '../src/core/index.js'
import { applyConfiguration } from '../src/mesh/commands/apply.js'
import { announceRecord } from '../src/mesh/commands/take.js'
import { PeerLinks, startLinkServer } from '../src/mesh/link.js'
import { MeshState } from '../src/mesh/state.js'
import { Peers } from '../src/mesh/tasks/peers.js'
import { MsgpackCodec } from '../src/peer/index.js'
import { findAddress } from './fixtures/address.js'
import { makeDocument } from './fixtures/document.js'

class SilentLog extends DecisionLog {
  override note (): void {}
}

interface TestNode { state: MeshState, peers: Peers, server: Server, links: PeerLinks }

const clock = new SystemClock()
const codec = new MsgpackCodec()
const stop = new AbortController()
const nodes: TestNode[] = []

async function startNode (host: string, zone: string): Promise<TestNode> {
  const peer = await findAddress()
  const state = new MeshState({ host, zone, region: zone, inbound: '', peer, admin: '', incarnation: 1 }, clock)
  announceRecord(state, state.own.makeRecord(), clock)
  const links = new PeerLinks(codec)
  const peers = new Peers({
    state,
    links,
    clock,
    random: new SeededRandom(nodes.length + 1),
    log: new SilentLog(),
    onConfiguration: found => { applyConfiguration(state, found, clock) }
  })
  const server = await startLinkServer(peer, codec, request => peers.answer(request))
  const node = { state, peers, server, links }
  nodes.push(node)
  return node
}

function makeConfiguration (version: number) {
  return { version, documents: [makeDocument()], callerLimits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}

afterEach(() => {
  stop.abort()
  for (const { server, links } of nodes) {
    links.close()
    server.forceShutdown()
  }
})

test('a version that one node has reaches a node of another region that the store refuses, and records reach both', async () => {
  const [first, second] = [await startNode('h1', 'a'), await startNode('h2', 'b')]
  announceRecord(second.state, first.state.own.makeRecord(), clock)
  second.peers.hasSource = false
  void second.peers.compareInTurn(stop.signal)
  applyConfiguration(first.state, makeConfiguration(7), clock)
  await delay(2_000)
  expect(second.state.version).toBe(7)
  expect(first.state.members.get('h2')).toBeDefined()
  applyConfiguration(first.state, makeConfiguration(9), clock)
  await delay(2_000)
  expect(second.state.version).toBe(9)
})
