/**
 * Guards against negative bytes in the table of the demo, which kills a node between its two readings of the nodes' counters.
 */
import { expect, test } from '@jest/globals'
import { computeTraffic } from '../standins/demo/measure.js'

test('the traffic between two readings leaves out a node that is in one of them only', () => {
  const before = new Map([['h1', { zone: 10, region: 20, platform: 30 }], ['killed', { zone: 1_000, region: 1_000, platform: 1_000 }]])
  const after = new Map([['h1', { zone: 15, region: 26, platform: 37 }], ['added', { zone: 500, region: 500, platform: 500 }]])
  expect(computeTraffic(before, after)).toEqual({ zone: 5, region: 6, platform: 7 })
})
