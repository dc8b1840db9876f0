/**
 * Guards against a timeline on which a version seems to be in force before the node received it. A version
 * that refers to a missing service is recorded as received, once as pending, and as in force when the service exists.
 */
import { expect, test } from '@jest/globals'
import { applyConfiguration } from '../src/node/commands/apply.js'
import { NodeTelemetry } from '../src/node/telemetry.js'
import type { Entry } from '../src/snapshot/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeEntry } from './fixtures/entry.js'
import { makeState } from './fixtures/state.js'

test('a version is recorded as received, once as pending, and as in force when the service that it refers to exists', () => {
  const clock = makeClock()
  const state = makeState({}, clock)
  const telemetry = new NodeTelemetry(state, clock)
  const entries: Entry[] = []
  const receive = (entry: Entry): void => {
    entries.push(entry)
    const configuration = { version: entries.length, entries: [...entries], replacesAll: false }
    const applied = applyConfiguration(state, configuration)
    if (applied !== undefined) telemetry.recordConfiguration(configuration, applied, 'host-2')
  }
  receive(makeEntry('desk', 1, { needs: ['gallery'] }))
  receive(makeEntry('other', 2))
  receive(makeEntry('gallery', 3))
  const deskEvents = telemetry.eventRing.list().filter(event => event.service === 'desk').map(event => event.kind)
  expect(deskEvents).toEqual(['document-staged', 'document-held', 'document-applied'])
})
