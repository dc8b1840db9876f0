/**
 * Guards against a node whose log says that it is ready before it has a configuration and knows the hosts, or says so again later.
 */
import { describe, expect, test } from '@jest/globals'
import { makeState } from './fixtures/state.js'
import type { NodeState } from '../src/node/state.js'

const CONFIGURATION = { version: 1, entries: [], replacesAll: true }

const STEPS: Record<string, (state: NodeState) => void> = {
  'a configuration': state => { state.configuration = CONFIGURATION },
  'the hosts': state => { state.knowsHosts = true }
}

function countReadiness (state: NodeState): () => number {
  let count = 0
  state.readiness.stream.observe(() => { count += 1 }).catch(error => { throw error })
  return () => count
}

describe('a starting node', () => {
  test.each([['a configuration', 'the hosts'], ['the hosts', 'a configuration']])('is ready once it has %s and then %s', async (first, second) => {
    const state = makeState()
    const getCount = countReadiness(state)
    await Promise.resolve()
    STEPS[first]?.(state)
    expect(getCount()).toBe(0)
    STEPS[second]?.(state)
    expect(getCount()).toBe(1)
    for (const step of Object.values(STEPS)) step(state)
    expect(getCount()).toBe(1)
  })
})
