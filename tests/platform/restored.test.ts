/**
 * Guards against a node that misses what is written to a store after it was restored from an older copy, in which the revisions go back
 * and are assigned again.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { startFollower } from '../fixtures/follower.js'
import type { Follower } from '../fixtures/follower.js'
import { makePlatformConfiguration, makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

/** Time within which a version that the store acknowledged is in force. */
const IN_FORCE_LIMIT_MS = 2_500

let fixture: StoreFixture
let follower: Follower

beforeEach(async () => { fixture = await makeStoreFixture() })

afterEach(async () => {
  follower.stop()
  await fixture.close()
})

function edit (version: number): void {
  fixture.server.writeObject('config', 'main', makePlatformConfiguration(version))
}

async function followUpTo (version: number): Promise<void> {
  follower = startFollower(fixture)
  expect(await follower.awaitVersion(version, IN_FORCE_LIMIT_MS)).toBe(true)
}

test('a restore is logged with the positions before and after it', async () => {
  edit(1)
  const copy = fixture.server.makeCopy()
  for (const version of [2, 3, 4]) edit(version)
  await followUpTo(4)
  fixture.server.restoreCopy(copy)
  await delay(IN_FORCE_LIMIT_MS)
  const restores = follower.log.entries.filter(({ event }) => event === 'store_restored')
  expect(restores).toMatchObject([{ epoch: 2, revision: 2, previousEpoch: 1, previousRevision: 5 }])
})
