/**
 * Guards against a release that costs the fleet the number of nodes squared in messages, and against a change that some nodes
 * do not learn of in time without the store.
 */
import { afterEach, expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import { announcementSchema, registerTarget } from '../src/membership/index.js'
import type { HostRecord } from '../src/membership/index.js'
import { storeLocalRecord, storeRecords } from '../src/node/commands/records.js'
import { selectNotifiedPeers } from '../src/node/queries/notified.js'
import type { NodeState } from '../src/node/state.js'
import { PeerSynchronizer } from '../src/node/tasks/peers.js'
import { makeClock } from './fixtures/clock.js'
import { makeNullLog } from './fixtures/log.js'
import { settleTasks } from './fixtures/member.js'
import { makeState } from './fixtures/state.js'
import { makeInProcessTransport } from './fixtures/transport.js'

const ZONES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2']
const NODES = 90
const RELEASED = 27
/** Time within which each node knows a change while the store does not respond. */
const PROPAGATION_LIMIT_MS = 5_000
const STEP_MS = 250

interface FleetNode { state: NodeState, peers: PeerSynchronizer }

const ended = new AbortController()

afterEach(() => { ended.abort() })

function makeFleet () {
  const clock = makeClock()
  const nodes = new Map<string, FleetNode>()
  const fleet = { clock, nodes, messages: 0 }
  for (let index = 0; index < NODES; index += 1) {
    const host = `h${index}`
    const zone = ZONES[index % ZONES.length] ?? ''
    const state = makeState({ host, zone, region: zone.slice(0, 1) }, clock)
    const transport = makeInProcessTransport(host, (_sender, peerHost) => {
      fleet.messages += 1
      return nodes.get(peerHost)?.peers
    })
    const random = new SeededRandom(index + 1)
    const peers = new PeerSynchronizer({ state, transport, clock, random, log: makeNullLog(), onConfiguration: () => {} })
    nodes.set(host, { state, peers })
  }
  const records = [...nodes.values()].map(({ state }) => state.localHost.makeRecord())
  for (const { state } of nodes.values()) {
    storeLocalRecord(state, state.localHost.newestRecord as HostRecord, clock)
    storeRecords(state, { records }, clock)
  }
  return fleet
}

function makePeer (index: number, zone: string): HostRecord {
  return makeState({ host: `p${index}`, zone }).localHost.makeRecord()
}

test('a release reaches every node in time, with a few messages for each change', async () => {
  const fleet = makeFleet()
  const { nodes, clock } = fleet
  const released = [...nodes.values()].slice(0, RELEASED)
  await Promise.all(released.map(async ({ state, peers }, index) => {
    const announcement = announcementSchema.parse({ service: 'desk', target: `t${index}`, address: '127.0.0.1:1' })
    const record = registerTarget(state.localHost, announcement, clock.monotonic()) as HostRecord
    storeLocalRecord(state, record, clock)
    await peers.notifyPeers({ records: [record] }, 'some')
  }))
  expect(fleet.messages).toBeLessThanOrEqual(RELEASED * 16)
  for (const { peers } of nodes.values()) void peers.exchangePeriodically(ended.signal)
  for (let passedMs = 0; passedMs < PROPAGATION_LIMIT_MS; passedMs += STEP_MS) {
    clock.advance(STEP_MS)
    await settleTasks()
  }
  const missing = [...nodes.values()].filter(({ state }) => (state.members.targets.get('desk')?.length ?? 0) < RELEASED)
  expect(missing.map(({ state }) => state.identity.host)).toEqual([])
})

test('a change is told to some peers of each zone, and a leaving host to many, whatever the size of the fleet', () => {
  for (const size of [30, 300, 3_000]) {
    const peers = Array.from({ length: size }, (_, index) => makePeer(index, ZONES[index % ZONES.length] ?? ''))
    const some = selectNotifiedPeers(peers, 'a1', 'some', new SeededRandom(size))
    expect(some.length).toBe(13)
    expect(new Set(some.map(({ zone }) => zone)).size).toBe(ZONES.length)
    expect(selectNotifiedPeers(peers, 'a1', 'many', new SeededRandom(size)).length).toBe(Math.min(size, 32))
  }
})
