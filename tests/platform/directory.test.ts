/**
 * Guards against a directory of hosts that stays wrong after the store was restored from an older copy: a record that the store lost and
 * its owner does not write again, and a record that is not read because its revision had been assigned before.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { PlatformStore } from '../../platform/store.js'
import { SeededRandom, SystemClock } from '../../src/core/index.js'
import { hostRecordSchema, markHostLeaving } from '../../src/membership/index.js'
import type { HostRecord } from '../../src/membership/index.js'
import { storeLocalRecord } from '../../src/node/commands/records.js'
import type { NodeState } from '../../src/node/state.js'
import { HostDirectory } from '../../src/node/tasks/directory.js'
import { makeNullLog } from '../fixtures/log.js'
import { makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'
import { makeState } from '../fixtures/state.js'

const KIND = 'comfreyspoke-host'
const HOST = 'h1'
const PEER = 'h2'
/** Two intervals between lists of the directory. */
const LIMIT_MS = 12_000
const CHECK_INTERVAL_MS = 20

const clock = new SystemClock()

let fixture: StoreFixture
let state: NodeState
let directory: HostDirectory
let stopped: AbortController

beforeEach(async () => {
  fixture = await makeStoreFixture()
  state = makeState({ host: HOST }, clock)
  stopped = new AbortController()
  directory = new HostDirectory({ state, store: new PlatformStore(fixture.client), clock, random: new SeededRandom(1), log: makeNullLog() })
})

afterEach(async () => {
  stopped.abort()
  await fixture.close()
})

function publish (record: HostRecord | undefined): void {
  if (record === undefined) throw new Error('the record did not change')
  storeLocalRecord(state, record, clock)
  directory.notifyChanged()
}

function writePeer (sequence: number): void {
  fixture.server.writeObject(KIND, PEER, { ...makeState({ host: PEER }).localHost.makeRecord(), sequence })
}

function readStored (host: string): HostRecord | undefined {
  return hostRecordSchema.safeParse(fixture.server.find(KIND, host)?.spec).data
}

async function awaitEqual<T> (read: () => T, expected: T): Promise<void> {
  const until = clock.monotonic() + LIMIT_MS
  while (read() !== expected && clock.monotonic() < until) await delay(CHECK_INTERVAL_MS)
  expect(read()).toBe(expected)
}

test('a local record that the store lost is written again', async () => {
  const copy = fixture.server.makeCopy()
  publish(state.localHost.makeRecord())
  void directory.run(stopped.signal)
  await awaitEqual(() => readStored(HOST)?.sequence, 1)
  fixture.server.restoreCopy(copy)
  await awaitEqual(() => readStored(HOST)?.sequence, 1)
}, 2 * LIMIT_MS)

test('a local record of which the store has an older state after a restore is written again', async () => {
  publish(state.localHost.makeRecord())
  void directory.run(stopped.signal)
  await awaitEqual(() => readStored(HOST)?.state, 'serving')
  const copy = fixture.server.makeCopy()
  publish(markHostLeaving(state.localHost))
  await awaitEqual(() => readStored(HOST)?.state, 'leaving')
  fixture.server.restoreCopy(copy)
  expect(readStored(HOST)?.state).toBe('serving')
  await awaitEqual(() => readStored(HOST)?.state, 'leaving')
}, 2 * LIMIT_MS)

test('a record of another host that is written after a restore is read, whatever its revision is', async () => {
  writePeer(1)
  const copy = fixture.server.makeCopy()
  for (let sequence = 2; sequence <= 5; sequence += 1) writePeer(sequence)
  void directory.run(stopped.signal)
  await awaitEqual(() => state.members.get(PEER)?.sequence, 5)
  fixture.server.restoreCopy(copy)
  writePeer(6)
  await awaitEqual(() => state.members.get(PEER)?.sequence, 6)
}, 2 * LIMIT_MS)

test('a list that is older than the last write does not make the node write again', async () => {
  publish(state.localHost.makeRecord())
  void directory.run(stopped.signal)
  await awaitEqual(() => readStored(HOST)?.sequence, 1)
  fixture.server.switches.staleCopy = { ...fixture.server.makeCopy(), objectsByKind: new Map() }
  const writes = (): number => fixture.server.calls.filter(call => !call.startsWith('GET')).length
  const before = writes()
  const lists = fixture.server.calls.length
  await awaitEqual(() => fixture.server.calls.length > lists, true)
  fixture.server.switches.staleCopy = undefined
  await delay(2_000)
  expect(writes()).toBe(before)
}, 2 * LIMIT_MS)
