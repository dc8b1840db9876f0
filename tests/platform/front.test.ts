/**
 * Guards against answers of another request, a refusal that is not true, and a target that is told
 * the wrong caller or more time than is left.
 */
import { expect, test } from '@jest/globals'
import { PlatformProtocolAdapter } from '../../platform/front.js'
import { makeFailure } from '../../src/core/index.js'
import { HEADERS } from '../../src/request/index.js'

const front = new PlatformProtocolAdapter(() => 'desk')

function makeSent (): Record<string, string> {
  return { host: 'shop.example', 'x-attempt-id': 'a1', 'x-timeout-ms': '2000', [HEADERS.caller]: 'gallery', [HEADERS.fingerprint]: 'f' }
}

test('a target is told the caller of the first node, the time left and its own id, and nothing of the nodes', () => {
  const sent = makeSent()
  const headers = front.makeTargetHeaders({ headers: sent, target: 'i-1', leftMs: 700 })
  expect(headers).toEqual({
    host: 'shop.example', 'x-attempt-id': 'a1', 'x-timeout-ms': '700', 'x-caller-service': 'gallery', 'x-target-instance': 'i-1'
  })
  expect(sent).toEqual(makeSent())
})

test('a caller cannot name itself or speak as a node', () => {
  const passed = front.filterRequestHeaders({ 'x-caller-service': 'admin', [HEADERS.caller]: 'admin', [HEADERS.load]: '0,0,9,0', connection: 'x-one', 'x-one': '1' })
  expect(front.makeTargetHeaders({ headers: passed, target: 'i-1', leftMs: 1 })['x-caller-service']).toBe('desk')
  expect(Object.keys(passed)).toEqual(['x-caller-service'])
})

test.each([
  ['its own id', 200, { 'x-attempt-id': 'a1' }, undefined],
  ['a failure of the target', 500, { 'x-attempt-id': 'a1' }, undefined],
  ['the id of another request', 200, { 'x-attempt-id': 'a0' }, 'may-have-run'],
  ['no id', 200, {}, 'may-have-run'],
  ['a refusal', 503, { 'x-not-executed': '1' }, 'not-run'],
  ['a refusal of another request', 503, { 'x-not-executed': '1', 'x-attempt-id': 'a0' }, 'may-have-run'],
  ['another instance', 421, { 'x-not-executed': '1', 'x-attempt-id': 'a1' }, 'not-run']
])('an answer with %s', (_name, statusCode, headers, verdict) => {
  expect(front.checkResponse({ 'x-attempt-id': 'a1' }, { statusCode, headers })?.verdict).toBe(verdict)
})

test.each([
  ['not-run', 504, 503],
  ['not-run', 503, 503],
  ['not-run', 404, 404],
  ['may-have-run', 503, 502],
  ['may-have-run', 504, 504],
  ['ran', 503, 502]
] as const)('a failure %s with %i is told as %i', (verdict, status, told) => {
  expect(front.formatFailure(makeFailure(verdict, status, 'x', '', 250), 'a1').status).toBe(told)
})

test('only a refusal says when to come back, in seconds with fractions', () => {
  expect(front.formatFailure(makeFailure('not-run', 503, 'x', '', 250), 'a1').headers['retry-after']).toBe('0.250')
  expect(front.formatFailure(makeFailure('may-have-run', 502, 'x', '', 250), 'a1').headers['retry-after']).toBeUndefined()
})
