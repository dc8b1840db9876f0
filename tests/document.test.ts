/**
 * Guards against invalid documents that are accepted, and against faults that do not name the path,
 * the expected and the found value.
 */
import { describe, expect, test } from '@jest/globals'
import { checkDocument, listReferences } from '../src/document/index.js'
import { makeDocument } from './fixtures/document.js'

function makeRaw (change: Record<string, unknown>): unknown {
  return { ...structuredClone(makeDocument()), ...change }
}

function makeRouteChange (change: Record<string, unknown>): Record<string, unknown> {
  return { routes: { check: { methods: ['GET'], path: '/a', kind: 'idempotent', deadlineMs: 10, ...change } } }
}

describe('checkDocument', () => {
  test('accepts a valid document and fills in defaults', () => {
    const checked = checkDocument({ service: 'desk', routes: {} })
    expect(checked.ok && checked.val.limits).toEqual({ slots: 6, connections: 130, queue: 12 })
  })

  test.each([
    ['a wrong type', { routes: { check: { methods: ['GET'], path: '/a', kind: 'idempotent', deadlineMs: 'soon' } } }, ['routes', 'check', 'deadlineMs'], '"soon"'],
    ['an unknown field', { owner: 'me' }, ['owner'], '"me"'],
    ['an unknown field of a destination', makeRouteChange({ to: { desk: { wieght: 1 } } }), ['routes', 'check', 'to', 'desk', 'wieght'], '1'],
    ['a missing field', makeRouteChange({ path: undefined }), ['routes', 'check', 'path'], 'nothing'],
    ['an invalid route name', { routes: { 'Check It': {} } }, ['routes', 'Check It'], 'Check It'],
    ['a fraction of a millisecond', makeRouteChange({ deadlineMs: 0.5 }), ['routes', 'check', 'deadlineMs'], '0.5'],
    ['a deadline above the limit', makeRouteChange({ deadlineMs: 600_001 }), ['routes', 'check', 'deadlineMs'], '600001'],
    ['a negative weight', makeRouteChange({ to: { desk: { weight: -1 } } }), ['routes', 'check', 'to', 'desk', 'weight'], '-1'],
    ['weights that are all 0', makeRouteChange({ to: { desk: { weight: 0 }, gallery: { weight: 0 } } }), ['routes', 'check', 'to'], '[0,0]'],
    ['a repeated method', makeRouteChange({ methods: ['GET', 'GET'] }), ['routes', 'check', 'methods', 1], 'GET'],
    ['no method', makeRouteChange({ methods: [] }), ['routes', 'check', 'methods'], '[]'],
    ['an unknown kind', makeRouteChange({ kind: 'twice' }), ['routes', 'check', 'kind'], '"twice"'],
    ['a caller with an invalid name', { callers: ['Web Shop'] }, ['callers', 0], '"Web Shop"'],
    ['a repeated caller', { callers: ['web', 'web'] }, ['callers', 1], 'web'],
    ['an empty list of callers', { callers: [] }, ['callers'], '[]'],
    ['no slots', { limits: { slots: 0 } }, ['limits', 'slots'], '0'],
    ['a repeated need', { needs: ['gallery', 'gallery'] }, ['needs', 1], 'gallery'],
    ['a null', { limits: null }, ['limits'], 'null'],
    ['an invalid service name', { service: 'Counter Desk' }, ['service'], '"Counter Desk"'],
    ['a reference to itself', { needs: ['desk'] }, ['needs', 0], 'desk']
  ])('rejects %s with its path', (_name, change, path, found) => {
    const checked = checkDocument(makeRaw(change))
    if (checked.ok) throw new Error('an invalid document was accepted')
    expect(checked.val[0]?.path).toEqual(path)
    expect(checked.val[0]?.found).toBe(found)
    expect(checked.val[0]?.expected?.length).toBeGreaterThan(0)
  })

  test.each(['photos', '/photos/', '//photos', '/photos?x=1', '/photos#x', '/a/../b', '/a/./b', '/a b', '/%zz', '', '/ü'])('rejects the path %j', path => {
    const checked = checkDocument(makeRaw(makeRouteChange({ path })))
    expect(checked.err && checked.val[0]?.path).toEqual(['routes', 'check', 'path'])
  })

  test.each(['/', '/photos', '/photos/new', '/.well-known/a..b', '/a%20b', '/a;v=1,2'])('accepts the path %j', path => {
    expect(checkDocument(makeRaw(makeRouteChange({ path }))).ok).toBe(true)
  })

  test('the fault of an unknown field lists the known fields', () => {
    const checked = checkDocument(makeRaw(makeRouteChange({ to: { desk: { wieght: 1 } } })))
    expect(checked.err && checked.val[0]?.expected).toBe('one of labels, service, weight')
  })

  test.each([null, 7, 'text', [], undefined])('rejects %j as a document', value => {
    expect(checkDocument(value).ok).toBe(false)
  })

  test('rejects a document that is too large for the history object', () => {
    const labels = { one: 'x'.repeat(60) }
    const to = Object.fromEntries(Array.from({ length: 6_000 }, (_, index) => [`destination-${index}`, { labels }]))
    const checked = checkDocument(makeRaw(makeRouteChange({ to })))
    expect(checked.err && checked.val.map(fault => fault.code)).toEqual(['too_large'])
  })

  test('rejects two routes that match the same requests', () => {
    const route = { methods: ['GET'], path: '/same', kind: 'idempotent', deadlineMs: 10 }
    const checked = checkDocument(makeRaw({ routes: { one: route, two: route } }))
    expect(checked.err && checked.val.map(fault => fault.code)).toEqual(['duplicate_match'])
  })
})

describe('listReferences', () => {
  test('lists the services of destinations, including a service that a destination selects by labels', () => {
    const to = { stable: { service: 'desk', labels: { ring: 'stable' } }, canary: { service: 'gallery' }, photos: {} }
    expect(listReferences(makeDocument({ ...makeRouteChange({ to }), needs: ['payments'] }))).toEqual(['gallery', 'payments', 'photos'])
  })
})
