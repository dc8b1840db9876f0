/**
 * Guards against sums over a time window that keep what has left it: entries that are never removed while nobody reads the sum, and
 * rounding errors that add up.
 */
import { expect, test } from '@jest/globals'
import { SlidingSum } from '../src/request/slidingsum.js'

const WINDOW_MS = 1_000

test('a sum that is not read keeps no more than about two windows of entries', () => {
  const sum = new SlidingSum(WINDOW_MS)
  for (let at = 0; at < 100 * WINDOW_MS; at += 1) sum.add(at)
  expect(sum.size).toBeLessThanOrEqual(2 * WINDOW_MS + 2)
  expect(sum.read(100 * WINDOW_MS)).toBe(WINDOW_MS)
})

test('amounts leave the sum with the window, without a rest', () => {
  const sum = new SlidingSum(WINDOW_MS)
  for (let at = 0; at < 10; at += 1) sum.add(at, 0.1)
  expect(sum.read(WINDOW_MS)).toBeCloseTo(1)
  expect(sum.read(WINDOW_MS + 5)).toBeCloseTo(0.5)
  expect(sum.read(2 * WINDOW_MS)).toBe(0)
})
