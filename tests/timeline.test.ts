/**
 * Guards against a timeline on which a message seems to arrive before it was sent, because the wall
 * clocks of the processes differ. Also covers filters and the explanation of when a version was in force.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { EventRing, explainVersion, filterEvents, formatHtmlPage, HybridLogicalClock, mergeEvents, EventRecorder, RING_CAPACITY_EVENTS } from '../src/timeline/index.js'
import type { HybridTime } from '../src/timeline/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeEvent } from './fixtures/event.js'
import { readPropertyParameters } from './fixtures/property.js'

function compareTimes (left: HybridTime, right: HybridTime): number {
  return left.wall - right.wall || left.counter - right.counter
}

describe('hybrid clock', () => {
  test('a message is received after it was sent, whatever the wall clocks show', () => {
    const steps = fc.array(fc.record({ from: fc.nat(2), to: fc.nat(2), drift: fc.integer({ min: -50, max: 50 }) }), { maxLength: 50 })
    fc.assert(fc.property(steps, sequence => {
      const walls = [makeClock(1_000), makeClock(5_000), makeClock(900)]
      const clocks = walls.map(wall => new HybridLogicalClock(wall))
      for (const { from, to, drift } of sequence) {
        walls[from]?.advance(drift)
        const sent = clocks[from]?.advance() as HybridTime
        const received = clocks[to]?.advance(sent) as HybridTime
        expect(compareTimes(received, sent)).toBeGreaterThan(0)
      }
    }), readPropertyParameters())
  })
})

describe('ring', () => {
  test('keeps only the last events', () => {
    const ring = new EventRing()
    const recorder = new EventRecorder(ring, new HybridLogicalClock(makeClock()), 'host-1', 'a')
    for (let index = 0; index < RING_CAPACITY_EVENTS * 3; index += 1) recorder.record('call-failed', String(index))
    expect(ring.list()).toHaveLength(RING_CAPACITY_EVENTS)
    expect(ring.list().at(-1)?.text).toBe(String(RING_CAPACITY_EVENTS * 3 - 1))
  })
})

describe('queries', () => {
  test('events of several processes are merged into one order', () => {
    const merged = mergeEvents([[makeEvent({ wall: 2 }), makeEvent({ wall: 5 })], [makeEvent({ wall: 2, counter: 1, node: 'host-2' })]])
    expect(merged.map(event => [event.wall, event.counter])).toEqual([[2, 0], [2, 1], [5, 0]])
  })

  test('a host filter finds events that other hosts recorded about a failed host', () => {
    const events = [makeEvent({ node: 'host-2', host: 'host-9', kind: 'target-gone' }), makeEvent({ node: 'host-2' })]
    expect(filterEvents(events, { host: 'host-9' })).toEqual([events[0]])
  })

  test('events before the requested time are excluded', () => {
    expect(filterEvents([makeEvent()], { since: 2_000 })).toEqual([])
  })

  test('explains when a version was in force and what delayed it', () => {
    const events = [
      makeEvent({ wall: 1_200, kind: 'source-lost', text: 'the store does not answer' }),
      makeEvent({ wall: 2_000, kind: 'document-staged', service: 'desk', version: 7, text: 'from host-3' }),
      makeEvent({ wall: 2_001, kind: 'document-applied', service: 'desk', version: 7 })
    ]
    const lines = explainVersion(events, { service: 'desk', version: 7, host: 'host-1', acceptedAt: 1_000 })
    expect(lines.map(line => line.slice(25))).toEqual([
      'accepted as version 7',
      'source-lost: the store does not answer',
      'version 7 received 1000 ms after acceptance: from host-3',
      'version 7 in force 1001 ms after acceptance'
    ])
  })

  test('reports that a version never arrived', () => {
    const lines = explainVersion([], { service: 'desk', version: 7, host: 'host-1' })
    expect(lines).toEqual(['host-1 has no record of receiving version 7 or a later one', 'version 7 is not in force on host-1, as far as its events go back'])
  })

  test('the page escapes HTML in the text of events', () => {
    const page = formatHtmlPage([makeEvent({ text: '<script>alert(1)</script>' })])
    expect(page).not.toContain('<script>alert')
    expect(page).toContain('&lt;script&gt;alert(1)')
  })
})
