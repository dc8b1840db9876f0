/**
 * Guards against a node that calls a proper request wrong because its configuration is older than that of a peer: callers do not repeat
 * a request after a 404 or a 413.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { request } from 'undici'
import { applyConfiguration } from '../src/node/commands/apply.js'
import { startMesh } from './fixtures/mesh.js'
import type { Mesh } from './fixtures/mesh.js'
import { makeState } from './fixtures/state.js'

const LONG_BODY = 'x'.repeat(2_000)

let mesh: Mesh
let isOutdated: boolean

beforeEach(async () => {
  isOutdated = false
  mesh = await startMesh({ targets: [(_message, response) => { response.end('whole') }] })
  mesh.context.isOutdated = () => isOutdated
})

afterEach(async () => { await mesh.close() })

async function send (path: string, body?: string): Promise<{ status: number, code: string, retryAfter: unknown }> {
  const response = await request(`http://${mesh.caller}${path}`, {
    method: body === undefined ? 'GET' : 'POST', headers: { 'x-comfreyspoke-service': 'desk' }, body: body ?? null
  })
  const { code } = await response.body.json() as { code: string }
  return { status: response.statusCode, code, retryAfter: response.headers['retry-after'] }
}

test.each([['/missing', undefined, 404, 'no_route'], ['/small', LONG_BODY, 413, 'body_too_large']])(
  'a request for %s is rejected as not run while a peer has a newer configuration, and as wrong otherwise', async (path, body, status, code) => {
    expect(await send(path, body)).toMatchObject({ status, code })
    isOutdated = true
    expect(await send(path, body)).toMatchObject({ status: 503, code: 'outdated', retryAfter: expect.anything() })
  }
)

test('a node is outdated from the moment at which a peer reports a newer version until it has that version', () => {
  const state = makeState()
  const apply = (version: number): void => { applyConfiguration(state, { version, entries: [], replacesAll: true }) }
  apply(5)
  state.recordSeenVersion(5)
  expect(state.isOutdated).toBe(false)
  state.recordSeenVersion(6)
  expect(state.isOutdated).toBe(true)
  apply(6)
  expect(state.isOutdated).toBe(false)
})

test('a request that is rejected by its head alone is reported', async () => {
  const codes: string[] = []
  mesh.context.onRejected = ({ code }) => { codes.push(code) }
  const response = await request(`http://${mesh.caller}/read`, { headers: { 'x-comfreyspoke-service': 'desk', 'x-long': 'x'.repeat(20_000) } })
  await response.body.dump()
  expect([response.statusCode, codes]).toEqual([431, ['head_too_large']])
})
