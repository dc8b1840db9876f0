/**
 * What a node records of versions: received before in force, and held once while a service is missing.
 * Guards against a time line on which a version seems to be in force before it arrived.
 */
import { expect, test } from '@jest/globals'
import { recordChanges } from '../src/node/tasks/observe.js'
import { receiveEntries, Replica } from '../src/peer/index.js'
import type { Receiver } from '../src/peer/index.js'
import { EventRing, Recorder } from '../src/timeline/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeEntry } from './fixtures/entry.js'

function makeObserved (): { receiver: Receiver, ring: EventRing } {
  const clock = makeClock()
  const replica = new Replica({ host: 'host-1', zone: 'a', region: 'r', inbound: '', peer: '', admin: '', incarnation: 1 }, clock)
  const ring = new EventRing()
  const recorder = new Recorder(ring, replica.time, 'host-1', 'a')
  recordChanges(replica, recorder, new AbortController().signal)
  const receiver: Receiver = {
    replica,
    clock,
    onApplied: ({ service, version }) => { recorder.record('document-applied', 'in force', { service, version }) },
    onHeld: ({ service, version }, reason) => { recorder.record('document-held', reason, { service, version }) }
  }
  return { receiver, ring }
}

test('a version is received, held once, and in force when what it refers to is here', () => {
  const { receiver, ring } = makeObserved()
  receiveEntries(receiver, [makeEntry('desk', 1, { needs: ['gallery'] })], 'host-2')
  receiveEntries(receiver, [makeEntry('other', 2)], 'host-2')
  receiveEntries(receiver, [makeEntry('gallery', 3)], 'host-2')
  const ofDesk = ring.list().filter(event => event.service === 'desk').map(event => event.kind)
  expect(ofDesk).toEqual(['document-staged', 'document-held', 'document-applied'])
})
