/**
 * What a node records of versions: received before in force, and held once while a service is missing.
 * Guards against a time line on which a version seems to be in force before it arrived.
 */
import { expect, test } from '@jest/globals'
import { applyConfiguration } from '../src/node/commands/apply.js'
import { NodeTelemetry } from '../src/node/telemetry.js'
import type { Entry } from '../src/snapshot/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeEntry } from './fixtures/entry.js'
import { makeState } from './fixtures/state.js'

test('a version is received, held once, and in force when what it refers to is here', () => {
  const clock = makeClock()
  const state = makeState({}, clock)
  const journal = new NodeTelemetry(state, clock)
  const entries: Entry[] = []
  const receive = (entry: Entry): void => {
    entries.push(entry)
    const configuration = { version: entries.length, entries: [...entries], replacesAll: false }
    const applied = applyConfiguration(state, configuration)
    if (applied !== undefined) journal.recordConfiguration(configuration, applied, 'host-2')
  }
  receive(makeEntry('desk', 1, { needs: ['gallery'] }))
  receive(makeEntry('other', 2))
  receive(makeEntry('gallery', 3))
  const ofDesk = journal.eventRing.list().filter(event => event.service === 'desk').map(event => event.kind)
  expect(ofDesk).toEqual(['document-staged', 'document-held', 'document-applied'])
})
