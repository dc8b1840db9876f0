/**
 * Guards against deadlines that never pass because the garbage collector took their timer. In Node.js 20
 * `AbortSignal.any` of an `AbortSignal.timeout` has that fault.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect, test } from '@jest/globals'
import { SystemClock } from '../src/core/index.js'
import { makeResponse, makeScope } from './fixtures/scope.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

test('a deadline passes after garbage was collected', async () => {
  const ended = Array.from({ length: 20 }, async () => {
    await new Promise(resolve => { makeScope(new SystemClock(), 20).signal.addEventListener('abort', resolve, { once: true }) })
  })
  await delay(5)
  collectGarbage()
  await Promise.all(ended)
})

test('the reason tells a deadline from a sender that left', async () => {
  const late = makeScope(new SystemClock(), 1)
  await new Promise(resolve => { late.signal.addEventListener('abort', resolve, { once: true }) })
  expect(late.signal.reason).toMatchObject({ name: 'TimeoutError' })
  const response = makeResponse()
  const left = makeScope(new SystemClock(), 60_000, response)
  response.emit('close')
  expect([left.signal.aborted, left.isCallerDisconnected]).toEqual([true, true])
  expect(left.signal.reason).not.toMatchObject({ name: 'TimeoutError' })
})
