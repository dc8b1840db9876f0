/**
 * Guards against rollouts that are misread, and against a status that is written for another rollout, twice, or over another writer's.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { PlatformRolloutStore } from '../../platform/rollouts.js'
import type { Rollout } from '../../src/rollout/index.js'
import { makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

let fixture: StoreFixture
let store: PlatformRolloutStore

beforeEach(async () => {
  fixture = await makeStoreFixture()
  store = new PlatformRolloutStore(fixture.client)
})

afterEach(async () => { await fixture.close() })

function putRollout (targetVersion = 'v2', duration = '60s'): void {
  fixture.server.writeObject('rollouts', 'desk', { service: 'desk', targetVersion, duration })
}

async function getRollout (): Promise<Rollout> {
  const rollout = (await store.get('desk')).unwrap()
  if (rollout === undefined) throw new Error('no rollout')
  return rollout
}

test('a rollout is listed, and a watch reports its creation, its status and its deletion', async () => {
  const { position, set } = (await store.read()).unwrap()
  expect(set.rollouts).toEqual([])
  putRollout()
  const created = (await store.watch(position, AbortSignal.timeout(5_000))).unwrap()
  expect(created.set?.rollouts).toMatchObject([{ service: 'desk', newVersion: 'v2', durationMs: 60_000, state: 'running', hasStatus: false, ageMs: 0 }])
  await store.writeState(await getRollout(), 'completed')
  const written = (await store.watch(created.position, AbortSignal.timeout(5_000))).unwrap()
  expect(written.set?.rollouts).toMatchObject([{ state: 'completed', hasStatus: true }])
  expect((await new PlatformRolloutStore(fixture.client).read()).unwrap().set.rollouts).toMatchObject([{ state: 'completed' }])
  await fixture.client.call({ method: 'DELETE', kind: 'rollouts', name: 'desk' })
  expect((await store.watch(written.position, AbortSignal.timeout(5_000))).unwrap().set?.rollouts).toEqual([])
})

test('the status has the state and the version, and the specification stays as it is', async () => {
  putRollout()
  expect((await store.writeState(await getRollout(), 'running')).unwrap()).toMatchObject({ state: 'running', hasStatus: true })
  expect(fixture.server.find('rollouts', 'desk')).toMatchObject({
    spec: { service: 'desk', targetVersion: 'v2', duration: '60s' }, status: { state: 'running', targetVersion: 'v2' }
  })
})

test('a status for a rollout that has been replaced is refused', async () => {
  putRollout()
  const earlier = await getRollout()
  putRollout('v3')
  const written = await store.writeState(earlier, 'completed')
  expect(written.err && written.val.code).toBe('conflict')
  expect(fixture.server.find('rollouts', 'desk')?.status).toBeNull()
})

test('a status of an earlier version does not end the rollout that replaced it', async () => {
  putRollout()
  await store.writeState(await getRollout(), 'rolled_back')
  await fixture.client.call({ method: 'PUT', kind: 'rollouts', name: 'desk', body: { spec: { service: 'desk', targetVersion: 'v3', duration: '30s' } } })
  expect(await getRollout()).toMatchObject({ newVersion: 'v3', state: 'running', hasStatus: false })
})

test('a write whose response is lost shows in the next read', async () => {
  putRollout()
  const rollout = await getRollout()
  fixture.server.switches.loseAnswers = true
  const written = await store.writeState(rollout, 'completed')
  expect(written.err && written.val.code).toBe('unknown')
  fixture.server.switches.loseAnswers = false
  expect(await getRollout()).toMatchObject({ state: 'completed', hasStatus: true })
  const again = await store.writeState(rollout, 'completed')
  expect(again.err && again.val.code).toBe('conflict')
})

test('a store that refuses and one that is gone are faults, and an object that does not parse is left out', async () => {
  putRollout()
  fixture.server.writeObject('rollouts', 'other', { targetVersion: 7 })
  expect((await store.read()).unwrap().set.rollouts.map(({ service }) => service)).toEqual(['desk'])
  const rollout = await getRollout()
  fixture.server.switches.refuseWith = 503
  const refused = await store.writeState(rollout, 'completed')
  expect(refused.err && refused.val.code).toBe('throttled')
  expect((await store.read()).err).toBe(true)
})
