/**
 * Guards against a node that goes on waiting for changes on a connection to the store that has gone silent. Callers then get 404 for
 * routes that were added, and old routes, from every node at once.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { StoreClient } from '../../platform/client.js'
import { PlatformConfigurationSource } from '../../platform/configuration.js'
import { SeededRandom, SystemClock } from '../../src/core/index.js'
import { followConfiguration } from '../../src/node/tasks/configuration.js'
import { startLink } from '../fixtures/link.js'
import type { SilentLink } from '../fixtures/link.js'
import { makeNullLog } from '../fixtures/log.js'
import { makePlatformConfiguration, makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

/** A machine counts as undisturbed this long after its connections went silent, and must then have each version of 2.5 s ago. */
const IN_FORCE_MS = 3_000
const CHECK_INTERVAL_MS = 20

let store: StoreFixture
let link: SilentLink
let client: StoreClient
let stopped: AbortController
let following: Promise<void>
let versions: number[]

/** Returns false if the version is not in force in time. */
async function awaitVersion (version: number): Promise<boolean> {
  const endsAt = performance.now() + IN_FORCE_MS
  while (versions.at(-1) !== version && performance.now() < endsAt) await delay(CHECK_INTERVAL_MS)
  return versions.at(-1) === version
}

beforeEach(async () => {
  store = await makeStoreFixture()
  versions = []
  stopped = new AbortController()
  link = await startLink(store.address)
  client = new StoreClient(`http://${link.address}`)
  store.server.writeObject('config', 'main', makePlatformConfiguration(1))
  following = followConfiguration({
    source: new PlatformConfigurationSource(client),
    clock: new SystemClock(),
    random: new SeededRandom(1),
    log: makeNullLog(),
    onUpdate: update => { if (update.kind === 'configuration') versions.push(update.configuration.version) },
    isReader: () => true,
    checkReader: async () => true,
    getKnownPosition: () => undefined,
    onSourceState: () => {}
  }, stopped.signal)
})

afterEach(async () => {
  stopped.abort()
  await following
  await client.close()
  link.close()
  await store.close()
})

test('a version that is written after all connections to the store went silent is in force in time', async () => {
  expect(await awaitVersion(1)).toBe(true)
  // Until the node waits for changes.
  await delay(1_000)
  link.silence()
  store.server.writeObject('config', 'main', makePlatformConfiguration(2))
  expect(await awaitVersion(2)).toBe(true)
})
