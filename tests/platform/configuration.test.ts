/**
 * Guards against a configuration that is applied in part, that replaces a newer version, or that a watch misses.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { convertConfiguration, PlatformConfigurationSource } from '../../platform/configuration.js'
import { configurationSchema } from '../../platform/wire.js'
import { configurationSchema as nativeSchema } from '../../src/configuration/index.js'
import { SystemClock } from '../../src/core/index.js'
import { applyConfiguration } from '../../src/node/commands/apply.js'
import { NodeState } from '../../src/node/state.js'
import { resolveRoute } from '../../src/request/index.js'
import { SeededRandom } from '../../src/core/index.js'
import type { RouteRow } from '../fixtures/platform.js'
import { makePlatformConfiguration, makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

let fixture: StoreFixture

beforeEach(async () => { fixture = await makeStoreFixture() })

afterEach(async () => { await fixture.close() })

function makeState (): NodeState {
  return new NodeState({ host: 'h', zone: 'a', region: 'r', inbound: '', peer: '', admin: '', incarnation: 1 }, new SystemClock())
}

function convert (version: number, rows: readonly RouteRow[], services?: readonly string[]) {
  return convertConfiguration(configurationSchema.parse(makePlatformConfiguration(version, rows, services)))
}

function resolve (state: NodeState, path: string, host = 'shop.example'): string {
  const call = { request: '1', service: host, host, method: 'GET', path, hops: 0, noRetry: false, hasBody: false }
  const resolved = resolveRoute(state.snapshotTable.current, call, new SeededRandom(1))
  return resolved.ok ? `${resolved.val.name} ${resolved.val.service}` : resolved.val.code
}

test('a version is converted into documents that match the configuration schema', () => {
  const configuration = convert(7, [{}, { kind: 'upload', pathPrefix: '/put/', priority: 1, service: 'gallery' }])
  expect(nativeSchema.parse(configuration)).toEqual(configuration)
  const [desk, gallery] = configuration.entries.map(entry => entry.document)
  expect(desk?.routes['r-0']).toMatchObject({ kind: 'idempotent', class: 'normal', path: '/read', below: true, deadlineMs: 1200, objectiveMs: 800, attempts: 2 })
  expect(gallery?.routes['r-1']).toMatchObject({ kind: 'plain', class: 'critical' })
})

test('the longest matching prefix of the host is used, and a path without the trailing slash does not match', () => {
  const state = makeState()
  applyConfiguration(state, convert(1, [{}, { pathPrefix: '/read/new/', service: 'gallery' }, { host: 'other.example', pathPrefix: '/' }]))
  expect(resolve(state, '/read/a')).toBe('r-0 desk')
  expect(resolve(state, '/read/new/a?b=1')).toBe('r-1 gallery')
  expect(resolve(state, '/read/')).toBe('r-0 desk')
  expect(resolve(state, '/read')).toBe('no_route')
  expect(resolve(state, '/reading/a')).toBe('no_route')
  expect(resolve(state, '/anything', 'other.example')).toBe('r-2 desk')
  expect(resolve(state, '/read/a', 'unknown.example')).toBe('no_route')
})

test('a version replaces the previous version completely, and an older version changes nothing', () => {
  const state = makeState()
  expect(applyConfiguration(state, convert(5, [{}, { pathPrefix: '/old/' }]))).toBeDefined()
  expect(applyConfiguration(state, convert(9, [{ service: 'gallery' }], ['gallery']))).toBeDefined()
  expect([resolve(state, '/read/a'), resolve(state, '/old/a')]).toEqual(['r-0 gallery', 'no_route'])
  expect(applyConfiguration(state, convert(8, [{}]))).toBeUndefined()
  expect(resolve(state, '/read/a')).toBe('r-0 gallery')
})

test('a split distributes requests by its weights', () => {
  const state = makeState()
  applyConfiguration(state, convert(1, [{ split: [{ service: 'desk', weight: 90 }, { service: 'gallery', weight: 10 }], service: null }]))
  const random = new SeededRandom(2)
  const call = { request: '1', service: '', host: 'shop.example', method: 'GET', path: '/read/a', hops: 0, noRetry: false, hasBody: false }
  const served = Array.from({ length: 2_000 }, () => resolveRoute(state.snapshotTable.current, call, random).unwrap().service)
  const share = served.filter(service => service === 'gallery').length / served.length
  expect(share).toBeGreaterThan(0.07)
  expect(share).toBeLessThan(0.13)
})

test('an invalid configuration is reported and not applied', async () => {
  const source = new PlatformConfigurationSource(fixture.client)
  expect((await source.read()).unwrap().update.kind).toBe('none')
  fixture.server.writeObject('config', 'main', { version: 'seven' })
  expect((await source.read()).unwrap().update.kind).toBe('faulty')
  const rows = makePlatformConfiguration(1, [{ kind: 'perhaps' }])
  fixture.server.writeObject('config', 'main', rows)
  expect((await source.read()).unwrap().update).toMatchObject({ kind: 'faulty' })
})

test('a watch returns the newest version after the revision of the read', async () => {
  const source = new PlatformConfigurationSource(fixture.client)
  fixture.server.writeObject('config', 'main', makePlatformConfiguration(1))
  const { revision } = (await source.read()).unwrap()
  for (const version of [2, 5]) fixture.server.writeObject('config', 'main', makePlatformConfiguration(version))
  const { updates } = (await source.watch(revision, new AbortController().signal)).unwrap()
  expect(updates).toMatchObject([{ kind: 'configuration', configuration: { version: 5 } }])
})
