/**
 * Guards against deadlines that never pass because their timer was garbage collected. In Node.js 20, `AbortSignal.any` of an
 * `AbortSignal.timeout` has this fault.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect, test } from '@jest/globals'
import { SystemClock } from '../src/core/index.js'
import { makeResponse, makeScope } from './fixtures/scope.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

test('a deadline passes after a garbage collection', async () => {
  const ended = Array.from({ length: 20 }, async () => {
    await new Promise(resolve => { makeScope(new SystemClock(), 20).signal.addEventListener('abort', resolve, { once: true }) })
  })
  await delay(5)
  collectGarbage()
  await Promise.all(ended)
})

test('the abort reason distinguishes a deadline from a caller that disconnected', async () => {
  const expired = makeScope(new SystemClock(), 1)
  await new Promise(resolve => { expired.signal.addEventListener('abort', resolve, { once: true }) })
  expect(expired.signal.reason).toMatchObject({ name: 'TimeoutError' })
  const response = makeResponse()
  const disconnected = makeScope(new SystemClock(), 60_000, response)
  response.emit('close')
  expect([disconnected.signal.aborted, disconnected.isCallerDisconnected]).toEqual([true, true])
  expect(disconnected.signal.reason).not.toMatchObject({ name: 'TimeoutError' })
})
