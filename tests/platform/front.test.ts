/**
 * Guards against a response that belongs to another request, a false not-run status, and a request to a target that names
 * the wrong caller or more time than is left.
 */
import { expect, test } from '@jest/globals'
import { PlatformProtocolAdapter } from '../../platform/front.js'
import { makeFailure } from '../../src/core/index.js'
import { HEADERS } from '../../src/request/index.js'

const adapter = new PlatformProtocolAdapter(() => 'desk')

function makeSent (): Record<string, string> {
  return { host: 'shop.example', 'x-attempt-id': 'a1', 'x-timeout-ms': '2000', [HEADERS.caller]: 'gallery', [HEADERS.fingerprint]: 'f' }
}

test('a target receives the caller of the caller-side node, the time left and its own id, but no headers of the nodes', () => {
  const sent = makeSent()
  const headers = adapter.makeTargetHeaders({ headers: sent, target: 'i-1', leftMs: 700 })
  expect(headers).toEqual({
    host: 'shop.example', 'x-attempt-id': 'a1', 'x-timeout-ms': '700', 'x-caller-service': 'gallery', 'x-target-instance': 'i-1'
  })
  expect(sent).toEqual(makeSent())
})

test('a caller cannot set its own service or send headers of the nodes', () => {
  const filtered = adapter.filterRequestHeaders({ 'x-caller-service': 'admin', [HEADERS.caller]: 'admin', [HEADERS.load]: '0,0,9,0', connection: 'x-one', 'x-one': '1' }, false)
  expect(adapter.makeTargetHeaders({ headers: filtered, target: 'i-1', leftMs: 1 })['x-caller-service']).toBe('desk')
  expect(Object.keys(filtered)).toEqual(['x-caller-service'])
})

test('while accounts are in force a target gets the account of the caller-side node, and neither the key nor an account that the caller names', () => {
  const sent = { authorization: 'Token k1', 'x-tenant-id': 'other', [HEADERS.account]: 'other', 'x-attempt-id': 'a1' }
  const filtered = adapter.filterRequestHeaders(sent, true)
  expect(filtered).toEqual({ 'x-attempt-id': 'a1' })
  const headers = adapter.makeTargetHeaders({ headers: { ...filtered, [HEADERS.account]: encodeURIComponent('Förlag 1') }, target: 'i-1', leftMs: 1 })
  expect([headers['x-tenant-id'], headers.authorization]).toEqual(['Förlag 1', undefined])
  expect(adapter.filterRequestHeaders({ authorization: 'Basic x' }, false)).toEqual({ authorization: 'Basic x' })
})

test.each([
  ['the id of the request', 200, { 'x-attempt-id': 'a1' }, undefined],
  ['a server error and the id of the request', 500, { 'x-attempt-id': 'a1' }, undefined],
  ['the id of another request', 200, { 'x-attempt-id': 'a0' }, 'may-have-run'],
  ['no id', 200, {}, 'may-have-run'],
  ['a rejection', 503, { 'x-not-executed': '1', 'x-attempt-id': 'a1' }, 'not-run'],
  ['a rejection without an id', 503, { 'x-not-executed': '1' }, 'may-have-run'],
  ['a rejection of another request', 503, { 'x-not-executed': '1', 'x-attempt-id': 'a0' }, 'may-have-run'],
  ['a rejection by another instance', 421, { 'x-attempt-id': 'a1' }, 'not-run'],
  ['a status of a rejection without saying that it did not run', 503, { 'x-attempt-id': 'a1' }, 'may-have-run']
])('a response with %s', (_name, statusCode, headers, verdict) => {
  expect(adapter.checkResponse({ 'x-attempt-id': 'a1' }, { statusCode, headers })?.verdict).toBe(verdict)
})

test.each([
  ['not-run', 504, 503],
  ['not-run', 503, 503],
  ['not-run', 404, 404],
  ['may-have-run', 503, 502],
  ['may-have-run', 504, 504],
  ['ran', 503, 502]
] as const)('a %s failure with status %i gets status %i', (verdict, status, expected) => {
  expect(adapter.formatFailure(makeFailure(verdict, status, 'x', '', 250), 'a1').status).toBe(expected)
})

test('only a rejection has a retry-after header, in seconds with fractions', () => {
  expect(adapter.formatFailure(makeFailure('not-run', 503, 'x', '', 250), 'a1').headers['retry-after']).toBe('0.250')
  expect(adapter.formatFailure(makeFailure('may-have-run', 502, 'x', '', 250), 'a1').headers['retry-after']).toBeUndefined()
})
