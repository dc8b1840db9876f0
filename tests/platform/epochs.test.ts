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
import { makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'
import { editAfterCopy, editAfterRestore, HOST_KIND } from '../fixtures/restore.js'
import { makeState } from '../fixtures/state.js'

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

test('a watch from an earlier epoch fails at once if another call has already shown the restore', async () => {
  const copy = editAfterCopy(fixture.server)
  const source = new PlatformConfigurationSource(fixture.client)
  const read = await source.read()
  if (read.err) throw new Error(read.val.message)
  fixture.server.restoreCopy(copy)
  editAfterRestore(fixture.server)
  await delay(100)
  // The list of the hosts shows the new epoch while the task of the configuration pauses.
  await fixture.client.call({ method: 'GET', kind: HOST_KIND })
  const watched = await Promise.race([source.watch(read.val.position, stopped.signal), delay(LIMIT_MS).then(() => 'waits')])
  expect(watched).toMatchObject({ err: true, val: { code: 'restored' } })
}, 2 * LIMIT_MS)

test('a node that starts after a restore is not misled by a copy that serves stale reads and still contains what the store lost', async () => {
  const copy = editAfterCopy(fixture.server)
  fixture.server.switches.staleCopy = fixture.server.makeCopy()
  fixture.server.restoreCopy(copy)
  const follower = startFollower(fixture, false)
  try {
    await delay(LIMIT_MS)
    fixture.server.switches.staleCopy = undefined
    editAfterRestore(fixture.server)
    expect(await follower.awaitVersion(5, LIMIT_MS)).toBe(true)
  } finally {
    follower.stop()
  }
}, 4 * LIMIT_MS)

test('lists that are some seconds old do not make a restarted node write its record again', async () => {
  const clock = new SystemClock()
  const log = makeMemoryLog()
  const state = makeState({ host: 'h1', incarnation: 2_000 }, clock)
  fixture.server.writeObject(HOST_KIND, 'h1', makeState({ host: 'h1', incarnation: 1_000 }, clock).localHost.makeRecord())
  fixture.server.switches.staleCopy = fixture.server.makeCopy()
  const directory = new HostDirectory({ state, store: new PlatformStore(fixture.client), clock, random: new SeededRandom(1), log })
  storeLocalRecord(state, state.localHost.makeRecord(), clock)
  void directory.run(stopped.signal)
  await delay(STALE_MS)
  fixture.server.switches.staleCopy = undefined
  expect(log.entries.filter(({ event }) => event === 'own_record_lost')).toEqual([])
  expect(fixture.server.calls.filter(call => !call.startsWith('GET'))).toHaveLength(1)
}, 2 * LIMIT_MS)

test('a rejection without an epoch does not count as a restore', async () => {
  let isRefusing = false
  const server = createServer((_message, response) => {
    if (isRefusing) response.writeHead(503).end()
    else response.setHeader('store-era', 3).end(JSON.stringify({ items: [], currentRev: 40 }))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = new StoreClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  const source = new PlatformConfigurationSource(client)
  const read = await source.read()
  if (read.err) throw new Error(read.val.message)
  isRefusing = true
  const polled = await source.poll(read.val.position, 'current', stopped.signal)
  await client.close()
  server.close()
  expect(polled).toMatchObject({ err: true, val: { code: 'throttled' } })
})

function countCalls (): number {
  return fixture.server.calls.filter(call => call.startsWith('GET /-/objects/config')).length
}

test('a restore costs a node that watches a few calls, and it loses the store once', async () => {
  const copy = editAfterCopy(fixture.server)
  const follower = startFollower(fixture, true)
  try {
    expect(await follower.awaitVersion(4, LIMIT_MS)).toBe(true)
    await delay(STALE_MS)
    fixture.server.restoreCopy(copy)
    const before = countCalls()
    await delay(LIMIT_MS)
    expect(countCalls() - before).toBeLessThanOrEqual(7)
    expect(follower.log.entries.filter(({ event }) => event === 'store_lost')).toHaveLength(1)
  } finally {
    follower.stop()
  }
}, 4 * LIMIT_MS)

test('a node that polls asks for current data after a restore, until a copy for stale reads cannot contain what was lost', async () => {
  const copy = editAfterCopy(fixture.server)
  const follower = startFollower(fixture, false)
  try {
    expect(await follower.awaitVersion(4, LIMIT_MS)).toBe(true)
    fixture.server.switches.staleCopy = fixture.server.makeCopy()
    fixture.server.restoreCopy(copy)
    await delay(9_000)
    fixture.server.switches.staleCopy = undefined
    editAfterRestore(fixture.server)
    expect(await follower.awaitVersion(5, LIMIT_MS)).toBe(true)
  } finally {
    follower.stop()
  }
}, 6 * LIMIT_MS)

test('a version of a later epoch from a peer makes the node read the store, which may have a still newer one', async () => {
  const copy = editAfterCopy(fixture.server)
  const follower = startFollower(fixture, false)
  try {
    expect(await follower.awaitVersion(4, LIMIT_MS)).toBe(true)
    fixture.server.restoreCopy(copy)
    editAfterRestore(fixture.server)
    applyConfiguration(follower.state, { version: 5, entries: [], replacesAll: true, position: { epoch: 2, revision: 13 } })
    fixture.server.calls.length = 0
    await delay(LIMIT_MS)
    expect(fixture.server.calls.filter(call => call === 'GET /-/objects/config').length).toBeGreaterThan(0)
  } finally {
    follower.stop()
  }
}, 4 * LIMIT_MS)
