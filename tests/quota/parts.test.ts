/**
 * Guards against credits that appear from nothing or outlive their time, in the parts that hold them, and against an owner that is cut
 * off and goes on.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { computeBound, computeCapacity, computeCreditLifetimeMs, computeRate, TokenBucket } from '../../src/quota/index.js'
import { ContactTracker, MAX_SILENCE_MS } from '../../src/quota/contacts.js'
import { CreditStock } from '../../src/quota/stock.js'
import { makeClock } from '../fixtures/clock.js'

test('a bucket starts empty, refills from its start only, and keeps no more than its capacity', () => {
  const bucket = new TokenBucket(10, 5, 1_000)
  expect([bucket.consume(9, 500), bucket.consume(9, 1_000), bucket.consume(9, 1_250), bucket.consume(9, 60_000)]).toEqual([0, 0, 2, 5])
})

test('what a bucket gives in any window is at most its capacity and its rate', () => {
  const step = fc.record({ wait: fc.integer({ min: 0, max: 900 }), wanted: fc.integer({ min: 1, max: 8 }) })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
    const bucket = new TokenBucket(7, 4, 0)
    let now = 0
    const taken = steps.map(({ wait, wanted }) => {
      now += wait
      return { at: now, count: bucket.consume(wanted, now) }
    })
    for (const [first, { at }] of taken.entries()) {
      let sum = 0
      for (const later of taken.slice(first)) {
        sum += later.count
        expect(sum).toBeLessThanOrEqual(4 + 7 * (later.at - at) / 1_000 + 1e-6)
      }
    }
  }))
})

test('a lowered limit takes credits of the bucket away, and a raised one adds none at once', () => {
  const bucket = new TokenBucket(10, 20, 0)
  bucket.setLimit(1, 2, 60_000)
  expect(bucket.measure(60_000)).toBe(2)
  bucket.setLimit(100, 200, 60_000)
  expect([bucket.measure(60_000), bucket.measure(60_100)]).toEqual([2, 12])
})

test('credits are taken in the order of their expiry and none after it', () => {
  const stock = new CreditStock()
  stock.add(2, 300)
  stock.add(1, 200)
  expect(stock.consume(2, 100)).toEqual({ credits: 2, expiresAt: 200 })
  expect([stock.count(299), stock.count(300), stock.collectExpired(), stock.collectExpired()]).toEqual([1, 0, 1, 0])
  expect(stock.consume(1, 300).credits).toBe(0)
})

test.each([0.5, 4, 40, 320, 3_000])('capacity, rate and life of credits stay below the bound for %s a second', rate => {
  const bounds = { windowMs: 5_000, overage: 0.1, slack: 20 }
  for (const burst of [0, rate / 4, rate, rate * 10]) {
    const limit = { ratePerSecond: rate, burst }
    const issuingMs = bounds.windowMs + computeCreditLifetimeMs(bounds)
    const most = 6 * computeCapacity(bounds, limit, 6) + 6 * computeRate(bounds, limit, 6) * issuingMs / 1_000
    // A request counts if it was sent and reached its target in the window, so its credit was used in the window, however long it waited.
    expect(most).toBeLessThanOrEqual(computeBound(bounds, limit))
  }
})

test('an owner is cut off when neither the store nor most hosts of its zone were heard of for five minutes', () => {
  const clock = makeClock()
  const contacts = new ContactTracker(clock, 'h1')
  const hosts = ['h1', 'h2', 'h3', 'h4', 'h5']
  clock.advance(MAX_SILENCE_MS)
  expect(contacts.isIsolated(hosts)).toBe(false)
  clock.advance(1)
  expect(contacts.isIsolated(hosts)).toBe(true)
  contacts.record('h2')
  expect(contacts.isIsolated(hosts)).toBe(true)
  contacts.record('h3')
  expect(contacts.isIsolated(hosts)).toBe(false)
  clock.advance(MAX_SILENCE_MS + 1)
  contacts.record()
  expect(contacts.isIsolated(hosts)).toBe(false)
})
