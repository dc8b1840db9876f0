/**
 * Guards against nodes that transfer each version of a burst to each other although the store serves them, and against a node whose
 * watch of the store has become unresponsive and that waits too long before it asks a peer.
 */
import { expect, test } from '@jest/globals'
import { BURST_LAG_MS, QUIET_LAG_MS, VersionLag } from '../src/node/lag.js'
import { makeClock } from './fixtures/clock.js'

test('while the source returns versions, a newer version of a peer is awaited from it', () => {
  const clock = makeClock()
  const lag = new VersionLag(clock)
  lag.recordSourceResponse()
  lag.observe(5, 4)
  clock.advance(BURST_LAG_MS - 1)
  expect(lag.isBehind(4)).toBe(false)
  lag.recordSourceResponse()
  clock.advance(1)
  expect(lag.isBehind(4)).toBe(true)
})

test('a source that has been quiet is not awaited for long', () => {
  const clock = makeClock()
  const lag = new VersionLag(clock)
  lag.recordSourceResponse()
  clock.advance(60_000)
  lag.observe(5, 4)
  expect(lag.isBehind(4)).toBe(false)
  clock.advance(QUIET_LAG_MS)
  expect(lag.isBehind(4)).toBe(true)
})

test('a version that arrived is no longer awaited, also when a still newer one is known', () => {
  const clock = makeClock()
  const lag = new VersionLag(clock)
  lag.observe(5, 4)
  clock.advance(QUIET_LAG_MS)
  lag.observe(6, 5)
  expect(lag.isBehind(5)).toBe(false)
  clock.advance(QUIET_LAG_MS)
  expect(lag.isBehind(5)).toBe(true)
  expect(lag.isBehind(6)).toBe(false)
})
