/**
 * Guards against a burst of versions that costs the store one call for each node and version, and against a version that does not
 * reach the nodes of a zone in time because the few nodes that follow the store for it have failed.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import { applyConfiguration } from '../src/node/commands/apply.js'
import { storeLocalRecord } from '../src/node/commands/records.js'
import { deriveZoneRoles } from '../src/node/queries/readers.js'
import { PeerSynchronizer } from '../src/node/tasks/peers.js'
import { VersionAnnouncer } from '../src/node/tasks/versions.js'
import type { PeerTransport } from '../src/peer/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeEntry } from './fixtures/entry.js'
import { makeFleet } from './fixtures/fleet.js'
import type { FleetNode } from './fixtures/fleet.js'
import { makeNullLog } from './fixtures/log.js'
import { makeRecord } from './fixtures/records.js'
import { makeState } from './fixtures/state.js'
import { makeInProcessTransport } from './fixtures/transport.js'

const NODES = 60
const ZONES = 6
const READERS_PER_ZONE = 3
const START_MS = 10_000
/** Time within which an accepted version is in force on every node. */
const CONVERGENCE_LIMIT_MS = 5_000
/** The users' limit for a deployment of this size, in which the store serves most nodes. */
const USERS_LIMIT_MS = 3_000
/** Their limit while the hosts that have to use the version are in touch. */
const ZONE_LIMIT_MS = 2_500
const SEED = 7

let fleet = makeFleet(0, SEED)

afterEach(() => { fleet.stop() })

async function startFleet (seed = SEED): Promise<void> {
  fleet = makeFleet(NODES, seed)
  fleet.edit('desk')
  await fleet.time.advance(START_MS)
}

async function expectInForce (version: number, limitMs = CONVERGENCE_LIMIT_MS): Promise<void> {
  const isInForce = (): boolean => fleet.runningNodes.every(node => fleet.readInForce(node, 'desk') === version)
  expect(await fleet.time.advanceUntil(isInForce, limitMs)).toBe(true)
}

function listReaders (): FleetNode[] {
  return fleet.nodes.filter(({ peers }) => peers.isReader)
}

test('three hosts of a zone follow the store, and each other host is told by one of them', () => {
  const hosts = Array.from({ length: 20 }, (_, index) => ({ host: `host-${index}` }))
  const { readers, listFollowers } = deriveZoneRoles(hosts)
  expect(readers.length).toBe(READERS_PER_ZONE)
  const told = readers.flatMap(listFollowers)
  expect([...told, ...readers].sort()).toEqual(hosts.map(({ host }) => host).sort())
  expect(Math.max(...readers.map(reader => listFollowers(reader).length))).toBe(6)
  expect(deriveZoneRoles([...hosts].reverse()).readers).toEqual(readers)
})

test('in a small zone every host follows the store', () => {
  expect([...deriveZoneRoles([{ host: 'a' }, { host: 'b' }, { host: 'c' }]).readers].sort()).toEqual(['a', 'b', 'c'])
})

test('the nodes of a fleet agree on their readers', async () => {
  await startFleet()
  expect(listReaders().length).toBe(ZONES * READERS_PER_ZONE)
})

describe.each<[string, (nodes: readonly FleetNode[]) => void]>([
  ['are served', () => {}],
  ['were killed', nodes => { for (const { index } of nodes) fleet.kill(index) }],
  ['are paused', nodes => { for (const { clock } of nodes) clock.pause() }],
  ['cannot reach the store', nodes => { for (const { index } of nodes) fleet.setStoreOutage(index, true) }]
])('when all readers of a zone %s', (_name, fail) => {
  test('an edit and the last version of a burst are in force on every running node in time', async () => {
    await startFleet()
    const [{ state: { identity: { zone } } }] = listReaders() as [FleetNode]
    fail(listReaders().filter(({ state }) => state.identity.zone === zone))
    await expectInForce(fleet.edit('desk'))
    let newest = 0
    for (let edit = 0; edit < 20; edit += 1) {
      newest = fleet.edit('desk')
      await fleet.time.advance(200)
    }
    await expectInForce(newest)
  })
})

/** Readers without power respond to nothing, and nobody knows yet that they are gone when the edit is accepted. */
test.each([1, 2, 3, 4, 5, 6, 7, 8])('an edit right after all readers of a zone lost power is in force in the users\' time (seed %i)', async seed => {
  fleet = makeFleet(NODES, seed, { hasStaleCopies: true })
  fleet.edit('desk')
  await fleet.time.advance(START_MS)
  const [{ state: { identity: { zone } } }] = listReaders() as [FleetNode]
  for (const { clock, state } of listReaders()) if (state.identity.zone === zone) clock.pause()
  await fleet.time.advance(100)
  await expectInForce(fleet.edit('desk'), ZONE_LIMIT_MS)
})

test.each([1, 2, 3, 4, 5])('an edit is in force in time while the store serves one reader of each zone only (seed %i)', async seed => {
  await startFleet(seed)
  const served = new Set<string>()
  for (const { index, state: { identity: { zone } } } of listReaders()) {
    if (served.has(zone)) fleet.setStoreOutage(index, true)
    served.add(zone)
  }
  for (let edit = 0; edit < 5; edit += 1) {
    await expectInForce(fleet.edit('desk'), USERS_LIMIT_MS)
    await fleet.time.advance(300 * edit)
  }
})

/** Returns the hosts that a reader of a zone of this size tells of a version. */
function listReceivers (zoneSize: number, isFromStore: boolean): string[] {
  const hosts = Array.from({ length: zoneSize }, (_, index) => ({ host: `host-${index}` }))
  const roles = deriveZoneRoles(hosts)
  const clock = makeClock()
  const state = makeState({ host: roles.readers[0] ?? '' }, clock)
  for (const version of [1, 2]) applyConfiguration(state, { version, entries: [makeEntry('desk', version)], replacesAll: true })
  const receivers: string[] = []
  const announcer = new VersionAnnouncer({ state, clock, deriveRoles: () => roles, sendChange: async host => { receivers.push(host) } })
  announcer.announce(1, isFromStore)
  return receivers
}

test('a version from the store goes to the other readers and a part of the zone, one from a peer to that part only', () => {
  expect(listReceivers(9, true).length).toBe(4)
  expect(listReceivers(9, false).length).toBe(2)
})

test('the readers of a small zone, who all follow the store, tell each other nothing', () => {
  expect(listReceivers(3, true)).toEqual([])
})

/** Returns how many of 100 checks of a node that is no reader reach its reader. */
async function countChecks (zoneSize: number): Promise<number> {
  const clock = makeClock()
  const records = Array.from({ length: zoneSize }, (_, index) => makeRecord(`host-${index}`, { targets: [] }))
  const { readers: [reader = ''], listFollowers } = deriveZoneRoles(records)
  let asked = 0
  const makePeers = (host: string, transport: PeerTransport): PeerSynchronizer => {
    const state = makeState({ host }, clock)
    for (const record of records) storeLocalRecord(state, record, clock)
    return new PeerSynchronizer({ state, transport, clock, random: new SeededRandom(SEED), log: makeNullLog(), onConfiguration: () => {} })
  }
  const readerPeers = makePeers(reader, makeInProcessTransport(reader, () => undefined))
  const follower = listFollowers(reader)[0] ?? ''
  const peers = makePeers(follower, makeInProcessTransport(follower, () => {
    asked += 1
    return readerPeers
  }))
  for (let check = 0; check < 100; check += 1) await peers.checkReader()
  return asked
}

/** Each reader of a zone of thousands would otherwise be asked a thousand times a second. */
test('the number of checks that a reader gets does not grow with its zone', async () => {
  expect(await countChecks(60)).toBe(100)
  expect(await countChecks(900)).toBeLessThan(25)
})
