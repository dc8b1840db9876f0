/**
 * Guards against nodes that miss or repeat work around a restore of the store: a watch that begins at a position of an earlier epoch although
 * another call has shown the restore, a node that starts after the restore and trusts a copy for stale reads, host records that are
 * written again although nothing was lost, and a rejection without an epoch that counts as a restore.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { StoreClient } from '../../platform/client.js'
import { PlatformConfigurationSource } from '../../platform/configuration.js'
import { PlatformStore } from '../../platform/store.js'
import { SeededRandom, SystemClock } from '../../src/core/index.js'
import { applyConfiguration } from '../../src/node/commands/apply.js'
import { storeLocalRecord } from '../../src/node/commands/records.js'
import { HostDirectory } from '../../src/node/tasks/directory.js'
import { startFollower } from '../fixtures/follower.js'
import { makeMemoryLog } from '../fixtures/log.js'
import { makePlatformConfiguration, makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'
import { makeState } from '../fixtures/state.js'

const KIND = 'comfreyspoke-host'
const LIMIT_MS = 5_000
const STALE_MS = 3_000

let fixture: StoreFixture
let stopped: AbortController

beforeEach(async () => {
  fixture = await makeStoreFixture()
  stopped = new AbortController()
})

afterEach(async () => {
  stopped.abort()
  await fixture.close()
})

function edit (version: number): void {
  fixture.server.writeObject('config', 'main', makePlatformConfiguration(version))
}

function writeOtherObjects (count: number): void {
  for (let index = 0; index < count; index += 1) fixture.server.writeObject(KIND, `host-${index}`, {})
}

test('a node that starts after a restore is not misled by a copy that serves stale reads and still contains what the store lost', async () => {
  edit(1)
  const copy = fixture.server.makeCopy()
  for (const version of [2, 3, 4]) edit(version)
  fixture.server.switches.staleCopy = fixture.server.makeCopy()
  fixture.server.restoreCopy(copy)
  const follower = startFollower(fixture, false)
  try {
    await delay(LIMIT_MS)
    fixture.server.switches.staleCopy = undefined
    edit(5)
    writeOtherObjects(10)
    expect(await follower.awaitVersion(5, LIMIT_MS)).toBe(true)
  } finally {
    follower.stop()
  }
}, 4 * LIMIT_MS)

test('lists that are some seconds old do not make a restarted node write its record again', async () => {
  const clock = new SystemClock()
  const log = makeMemoryLog()
  const state = makeState({ host: 'h1', incarnation: 2_000 }, clock)
  fixture.server.writeObject(KIND, 'h1', makeState({ host: 'h1', incarnation: 1_000 }, clock).localHost.makeRecord())
  fixture.server.switches.staleCopy = fixture.server.makeCopy()
  const directory = new HostDirectory({ state, store: new PlatformStore(fixture.client), clock, random: new SeededRandom(1), log })
  storeLocalRecord(state, state.localHost.makeRecord(), clock)
  void directory.run(stopped.signal)
  await delay(STALE_MS)
  fixture.server.switches.staleCopy = undefined
  expect(log.entries.filter(({ event }) => event === 'own_record_lost')).toEqual([])
  expect(fixture.server.calls.filter(call => !call.startsWith('GET'))).toHaveLength(1)
}, 2 * LIMIT_MS)
