/**
 * Guards against a configuration that is applied in part, that replaces a newer version, that a watch misses, or that other nodes reject.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { ConfigurationParser, PlatformConfigurationSource } from '../../platform/configuration.js'
import { hashKey } from '../../src/account/index.js'
import { applyChange, configurationChangeSchema as changeSchema, configurationSchema as nativeSchema, deriveChange } from '../../src/configuration/index.js'
import { SystemClock } from '../../src/core/index.js'
import { applyConfiguration } from '../../src/node/commands/apply.js'
import { NodeState } from '../../src/node/state.js'
import { MsgpackCodec } from '../../src/peer/index.js'
import { resolveRoute } from '../../src/request/index.js'
import { SeededRandom } from '../../src/core/index.js'
import type { RouteRow } from '../fixtures/platform.js'
import { makePlatformConfiguration, makeStoreFixture, withAccounts } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

let fixture: StoreFixture

beforeEach(async () => { fixture = await makeStoreFixture() })

afterEach(async () => { await fixture.close() })

function makeState (): NodeState {
  return new NodeState({ host: 'h', zone: 'a', region: 'r', inbound: '', peer: '', admin: '', incarnation: 1 }, new SystemClock())
}

function convert (version: number, rows: readonly RouteRow[], services?: readonly string[]) {
  return new ConfigurationParser().parse(makePlatformConfiguration(version, rows, services)).unwrap()
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

const UNUSUAL_ROWS: ReadonlyArray<[string, RouteRow]> = [
  ['weights that are fractions', { split: [{ service: 'desk', weight: 0.75 }, { service: 'gallery', weight: 0.25 }], service: null }],
  ['large weights', { split: [{ service: 'desk', weight: 9_000 }, { service: 'gallery', weight: 1_000 }], service: null }],
  ['a name with other characters', { name: 'Read_V2.a' }],
  ['a long name', { name: 'r'.repeat(100) }],
  ['a prefix with an empty segment', { pathPrefix: '/read//new/' }],
  ['a prefix with other characters', { pathPrefix: '/a|b/"c"/' }],
  ['a long time limit', { timeout: '900s' }]
]

/** A node that the store does not serve has no other way to get the version. */
test.each(UNUSUAL_ROWS)('a version that has %s passes from node to node', (_name, row) => {
  const codec = new MsgpackCodec()
  const configuration = convert(7, [{}, { pathPrefix: '/new/', ...row }])
  expect(codec.decode(codec.encode(configuration), nativeSchema)).toEqual(configuration)
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

test.each(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', 'TRACE'])('a request with the method %s has a route', method => {
  const state = makeState()
  applyConfiguration(state, convert(1, [{}]))
  const call = { request: '1', service: '', host: 'shop.example', method, path: '/read/a', hops: 0, noRetry: false, hasBody: false }
  expect(resolveRoute(state.snapshotTable.current, call, new SeededRandom(1)).ok).toBe(true)
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
  fixture.server.writeObject('config', 'main', { ...makePlatformConfiguration(1) as object, routes: 'none' })
  expect((await source.read()).unwrap().update).toMatchObject({ kind: 'faulty' })
})

/** One unknown word in one route once made a node reject the whole configuration, so that it never became ready. */
test('a route of an unknown kind is served with one attempt, and never sent twice', () => {
  const { entries } = convert(1, [{ kind: 'perhaps', maxAttempts: 3 }, { kind: 'download', pathPrefix: '/large/' }])
  const routes = entries[0]?.document?.routes
  expect(routes?.['r-0']).toMatchObject({ kind: 'plain', attempts: 1 })
  expect(routes?.['r-1']).toMatchObject({ kind: 'idempotent', attempts: 2 })
})

test('a row that cannot be read makes only its route unavailable, which a caller may try again', () => {
  const state = makeState()
  const configuration = convert(1, [{}, { pathPrefix: '/odd/', timeout: 'soon' }, { pathPrefix: '/lost/', service: 'desk', host: 7 as never }])
  applyConfiguration(state, configuration)
  expect([resolve(state, '/read/a'), resolve(state, '/odd/a'), resolve(state, '/lost/a')]).toEqual(['r-0 desk', 'route_unavailable', 'no_route'])
  expect(configuration.unreadable).toMatchObject([{ kind: 'route', name: 'r-1' }, { kind: 'route', name: 'r-2' }])
  expect(nativeSchema.parse(configuration)).toEqual(configuration)
})

test('accounts have hashes of their keys, pass from node to node, and are left out of a change that does not concern them', () => {
  const parser = new ConfigurationParser()
  const accounts = [{ name: 'press', apiKeys: ['k1', 'k2'], priority: 0, ratePerS: 5, burst: 2 }, { name: 'odd name/é', apiKeys: null }]
  const [base, next] = [1, 2].map(version => parser.parse(withAccounts(makePlatformConfiguration(version), accounts)).unwrap())
  if (base === undefined || next === undefined) throw new Error('no configuration')
  expect(base.accounts).toEqual([
    { name: 'press', keyHashes: [hashKey('k1'), hashKey('k2')], class: 'critical', ratePerSecond: 5, burst: 2 },
    { name: 'odd name/é', keyHashes: [], ratePerSecond: 0, burst: 0 }
  ])
  expect(JSON.stringify(base)).not.toContain('"k1"')
  const change = deriveChange(base, next)
  expect(change.next.accounts).toBeUndefined()
  const codec = new MsgpackCodec()
  expect(applyChange(base, codec.decode(codec.encode(change), changeSchema))).toEqual(next)
  const without = parser.parse(makePlatformConfiguration(3)).unwrap()
  expect(applyChange(next, deriveChange(next, without))?.accounts).toBeUndefined()
})

test('a watch returns the newest version after the revision of the read', async () => {
  const source = new PlatformConfigurationSource(fixture.client)
  fixture.server.writeObject('config', 'main', makePlatformConfiguration(1))
  const { position } = (await source.read()).unwrap()
  for (const version of [2, 5]) fixture.server.writeObject('config', 'main', makePlatformConfiguration(version))
  const { updates } = (await source.watch(position, new AbortController().signal)).unwrap()
  expect(updates).toMatchObject([{ kind: 'configuration', configuration: { version: 5 } }])
})

test('a version shares the routes that did not change with the previous version', () => {
  const parser = new ConfigurationParser()
  const first = parser.parse(makePlatformConfiguration(1, [{}, { pathPrefix: '/new/' }])).unwrap()
  const second = parser.parse(makePlatformConfiguration(2, [{}, { pathPrefix: '/new/', timeout: '500ms' }])).unwrap()
  const [before, after] = [first, second].map(({ entries }) => entries[0]?.document?.routes)
  expect(after?.['r-0']).toBe(before?.['r-0'])
  expect(after?.['r-1']).toMatchObject({ deadlineMs: 500 })
})

test('a route whose class changes with the priorities of other routes is not shared', () => {
  const parser = new ConfigurationParser()
  const first = parser.parse(makePlatformConfiguration(1, [{ priority: 2 }])).unwrap()
  const second = parser.parse(makePlatformConfiguration(2, [{ priority: 2 }, { pathPrefix: '/new/', priority: 1 }])).unwrap()
  expect([first, second].map(({ entries }) => entries[0]?.document?.routes['r-0']?.class)).toEqual(['critical', 'normal'])
})

test('the change between two large versions contains only the routes that differ, and restores the newer version', () => {
  const rows = Array.from({ length: 1_000 }, (_, index): RouteRow => ({ pathPrefix: `/${index}/` }))
  const parser = new ConfigurationParser()
  const first = parser.parse(makePlatformConfiguration(1, rows)).unwrap()
  const changedRows = rows.slice(1).map((row, index): RouteRow => ({ ...row, name: `r-${index + 1}`, ...index === 0 ? { service: 'gallery' } : {} }))
  const second = parser.parse(makePlatformConfiguration(2, [...changedRows, { name: 'added' }])).unwrap()
  const change = deriveChange(first, second)
  expect(change.next.entries.map(({ document }) => Object.keys(document?.routes ?? {}))).toEqual([['added'], ['r-1']])
  expect(change.partial.desk?.removedRoutes).toEqual(['r-0', 'r-1'])
  expect(applyChange(first, JSON.parse(JSON.stringify(change)))).toEqual(second)
})

test('a change is not applied to another version than the one from which it was derived', () => {
  const [first, second, third] = [1, 2, 3].map(version => convert(version, [{ timeout: `${version}00ms` }]))
  if (first === undefined || second === undefined || third === undefined) throw new Error('three versions are expected')
  expect(applyChange(first, deriveChange(second, third))).toBeUndefined()
})

test.each([
  ['an array', '['.repeat(100_000) + ']'.repeat(100_000)], ['an object', '{"a":'.repeat(100_000) + '1' + '}'.repeat(100_000)]
])('a row of the configuration with %s that is nested deeply is reported, and the next version is read', (_name, text) => {
  const parser = new ConfigurationParser()
  const deep = JSON.parse(JSON.stringify(makePlatformConfiguration(2)).replace('"800ms"', () => text)) as unknown
  expect(parser.parse(deep).unwrap().unreadable).toMatchObject([{ kind: 'route', name: 'r-0' }])
  expect(parser.parse(makePlatformConfiguration(3)).ok).toBe(true)
})

test('a row of the configuration with a value in an unknown column, however deep, counts without it', () => {
  const configuration = makePlatformConfiguration(2) as { routes: { columns: string[], rows: unknown[][] } }
  configuration.routes.columns.push('later')
  configuration.routes.rows[0]?.push(JSON.parse('['.repeat(100_000) + ']'.repeat(100_000)))
  expect(new ConfigurationParser().parse(configuration).unwrap().entries[0]?.document?.routes['r-0']?.path).toBe('/read')
})

/** A peer rejects a message with a configuration that does not match its schema, so such a version would come from the store only. */
test.each([
  ['a fractional weight', { split: [{ service: 'desk', weight: 0.25 }, { service: 'gallery', weight: 0.75 }] }],
  ['a very small weight', { split: [{ service: 'desk', weight: 1e-9 }, { service: 'gallery', weight: 3e-9 }] }],
  ['a large weight', { split: [{ service: 'desk', weight: 1e300 }, { service: 'gallery', weight: 3e300 }] }],
  ['a long timeout', { timeout: '9999999999s' }],
  ['no time', { timeout: '0ms', targetLatency: '0ms' }],
  ['a long objective', { targetLatency: '9999999999s' }],
  ['many attempts', { maxAttempts: Number.MAX_SAFE_INTEGER }]
])('a route with %s is one that peers accept', (_name, row) => {
  const configuration = convert(1, [row])
  expect(nativeSchema.parse(configuration)).toEqual(configuration)
  if (!('split' in row)) return
  const [desk, gallery] = Object.values(configuration.entries[0]?.document?.routes['r-0']?.to ?? {}).map(({ weight }) => weight)
  expect((gallery ?? 0) / (desk ?? 0)).toBeCloseTo(3)
})

test('limits beyond those of documents are ones that peers accept', () => {
  const platform = makePlatformConfiguration(1) as { services: { rows: unknown[][] }, limits: Record<string, unknown> }
  platform.limits.maxBodyBytes = Number.MAX_SAFE_INTEGER
  platform.services.rows = [['desk', '/healthz', 2 ** 40, 'h1', false]]
  const configuration = new ConfigurationParser().parse(platform).unwrap()
  expect(nativeSchema.parse(configuration)).toEqual(configuration)
})
