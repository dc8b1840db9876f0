/**
 * Guards against a node that accepts a request shortly before it stops and then has to abort it.
 */
import { expect, test } from '@jest/globals'
import { request } from 'undici'
import { startMesh } from './fixtures/mesh.js'

test('a node that stops soon rejects a request that may take longer as not run, and serves a shorter one', async () => {
  let runs = 0
  const mesh = await startMesh({ targets: [(_message, response) => { runs += 1; response.end('whole') }] })
  mesh.context.getTimeToShutdownMs = () => 400
  const send = async (path: string) => await request(`http://${mesh.caller}${path}`, { headers: { 'x-comfreyspoke-service': 'desk' } })
  const long = await send('/read')
  expect([long.statusCode, long.headers['x-comfreyspoke-verdict'], long.headers['retry-after'] !== undefined]).toEqual([503, 'not-run', true])
  await long.body.dump()
  const quick = await send('/quick')
  expect([quick.statusCode, await quick.body.text()]).toEqual([200, 'whole'])
  expect(runs).toBe(1)
  await mesh.close()
})
