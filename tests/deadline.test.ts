/**
 * Guards against deadlines that never pass because the garbage collector took their timer.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect, test } from '@jest/globals'
import { deriveDeadline } from '../src/core/index.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

test('a deadline passes after garbage was collected', async () => {
  const ended = Array.from({ length: 20 }, async () => {
    await new Promise(resolve => { deriveDeadline(new AbortController().signal, 20).addEventListener('abort', resolve, { once: true }) })
  })
  await delay(5)
  collectGarbage()
  await Promise.all(ended)
})

test('a deadline ends with its parent, for the parent\'s reason', () => {
  const parent = new AbortController()
  const signal = deriveDeadline(parent.signal, 60_000)
  parent.abort(new Error('left'))
  expect(signal.reason).toBe(parent.signal.reason)
})
