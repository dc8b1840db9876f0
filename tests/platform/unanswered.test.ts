/**
 * Guards against a host record that does not reach the store because the open connections to it have gone silent. Nodes that find their
 * peers in the store would go on sending requests to a target that leaves.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { StoreClient } from '../../platform/client.js'
import { PlatformStore } from '../../platform/store.js'
import { SeededRandom, SystemClock } from '../../src/core/index.js'
import { hostRecordSchema, markHostLeaving } from '../../src/membership/index.js'
import { storeLocalRecord } from '../../src/node/commands/records.js'
import type { NodeState } from '../../src/node/state.js'
import { HostDirectory } from '../../src/node/tasks/directory.js'
import { startLink } from '../fixtures/link.js'
import type { SilentLink } from '../fixtures/link.js'
import { makeNullLog } from '../fixtures/log.js'
import { makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'
import { makeState } from '../fixtures/state.js'

/** The time after which a host without a record in the store is taken as gone. */
const WRITTEN_MS = 2_500
const CHECK_INTERVAL_MS = 20
const HOST = 'h1'

const clock = new SystemClock()

let store: StoreFixture
let link: SilentLink
let client: StoreClient
let state: NodeState
let directory: HostDirectory
let stopped: AbortController

function findStoredState (): string | undefined {
  return hostRecordSchema.safeParse(store.server.find('comfreyspoke-host', HOST)?.spec).data?.state
}

async function awaitStoredState (expected: string): Promise<boolean> {
  const endsAt = performance.now() + WRITTEN_MS
  while (findStoredState() !== expected && performance.now() < endsAt) await delay(CHECK_INTERVAL_MS)
  return findStoredState() === expected
}

beforeEach(async () => {
  store = await makeStoreFixture()
  link = await startLink(store.address)
  client = new StoreClient(`http://${link.address}`)
  state = makeState({ host: HOST }, clock)
  stopped = new AbortController()
  directory = new HostDirectory({ state, store: new PlatformStore(client), clock, random: new SeededRandom(1), log: makeNullLog() })
  storeLocalRecord(state, state.localHost.makeRecord(), clock)
  void directory.run(stopped.signal)
})

afterEach(async () => {
  stopped.abort()
  await client.close()
  link.close()
  await store.close()
})

test('a host that leaves after all connections to the store went silent is leaving in the store in time', async () => {
  expect(await awaitStoredState('serving')).toBe(true)
  link.silence()
  const record = markHostLeaving(state.localHost)
  if (record === undefined) throw new Error('the record did not change')
  storeLocalRecord(state, record, clock)
  directory.notifyChanged()
  expect(await awaitStoredState('leaving')).toBe(true)
})
