/**
 * Guards against a node that misses what is written to a store after it was restored from an older copy, in which the revisions go back
 * and are assigned again.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { startFollower } from '../fixtures/follower.js'
import type { Follower } from '../fixtures/follower.js'
import { makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'
import { editAfterCopy, editAfterRestore, editVersion, HOST_KIND } from '../fixtures/restore.js'

/** Time within which a version that the store acknowledged is in force. */
const IN_FORCE_LIMIT_MS = 2_500
/** The same for a node that only polls, without peers that tell it of versions. */
const POLLED_LIMIT_MS = 5_000

let fixture: StoreFixture
let follower: Follower

beforeEach(async () => { fixture = await makeStoreFixture() })

afterEach(async () => {
  follower.stop()
  await fixture.close()
})

async function followUpTo (version: number, isReader = true): Promise<void> {
  follower = startFollower(fixture, isReader)
  expect(await follower.awaitVersion(version, POLLED_LIMIT_MS)).toBe(true)
}

test('a restore is logged with the positions before and after it', async () => {
  const copy = editAfterCopy(fixture.server)
  await followUpTo(4)
  fixture.server.restoreCopy(copy)
  await delay(IN_FORCE_LIMIT_MS)
  const restores = follower.log.entries.filter(({ event }) => event === 'store_restored')
  expect(restores).toMatchObject([{ epoch: 2, revision: 2, previousEpoch: 1, previousRevision: 5 }])
})

describe.each([['watches the store', true, IN_FORCE_LIMIT_MS], ['polls the store', false, POLLED_LIMIT_MS]])('a node that %s', (_name, isReader, limitMs) => {
  test('puts a version in force in time that gets a revision from before the restore', async () => {
    const copy = editAfterCopy(fixture.server)
    await followUpTo(4, isReader)
    fixture.server.restoreCopy(copy)
    await delay(IN_FORCE_LIMIT_MS)
    expect(follower.state.version).toBe(4)
    editAfterRestore(fixture.server)
    expect(await follower.awaitVersion(5, limitMs)).toBe(true)
  })

  test('puts a version in force in time that is written before the node calls the restored store', async () => {
    const copy = editAfterCopy(fixture.server)
    await followUpTo(4, isReader)
    fixture.server.restoreCopy(copy)
    editAfterRestore(fixture.server)
    expect(await follower.awaitVersion(5, limitMs)).toBe(true)
  })
})

test('a node that polls is not misled by a copy that serves stale reads and still contains what the store lost', async () => {
  const copy = editAfterCopy(fixture.server)
  await followUpTo(4, false)
  fixture.server.switches.staleCopy = fixture.server.makeCopy()
  fixture.server.restoreCopy(copy)
  await delay(POLLED_LIMIT_MS)
  fixture.server.switches.staleCopy = undefined
  editAfterRestore(fixture.server)
  expect(await follower.awaitVersion(5, POLLED_LIMIT_MS)).toBe(true)
})

test('a watch on a connection that has become silent ends when another call shows that the store was restored', async () => {
  const copy = editAfterCopy(fixture.server)
  await followUpTo(4)
  await delay(IN_FORCE_LIMIT_MS)
  fixture.server.restoreCopy(copy, 'keep-silent')
  editVersion(fixture.server, 5)
  await fixture.client.call({ method: 'GET', kind: HOST_KIND })
  expect(await follower.awaitVersion(5, IN_FORCE_LIMIT_MS)).toBe(true)
})
