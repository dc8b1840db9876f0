/**
 * Guards against a node whose log says that it is ready before it has compared its version with its peers, or says so again later.
 */
import { expect, test } from '@jest/globals'
import { makeState } from './fixtures/state.js'

test('a starting node is ready once, when it has compared its version', async () => {
  const state = makeState()
  let count = 0
  state.readiness.stream.observe(() => { count += 1 }).catch(error => { throw error })
  await Promise.resolve()
  state.configuration = { version: 1, entries: [], replacesAll: true }
  state.knowsHosts = true
  expect([state.isReady, count]).toEqual([false, 0])
  state.markCompared()
  state.markCompared()
  expect([state.isReady, count]).toEqual([true, 1])
})
