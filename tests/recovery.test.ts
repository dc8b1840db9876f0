/**
 * Guards against a starting node that brings back what the newest record of its host no longer says, makes a record that its peers do not
 * take, or loses a call of its target that comes before it knows the earlier records of its host.
 */
import { expect, test } from '@jest/globals'
import { announcementSchema } from '../src/membership/index.js'
import type { HostRecord } from '../src/membership/index.js'
import { LocalHostRegistration } from '../src/node/commands/localhost.js'
import { RecordCopies } from '../src/node/copies.js'
import type { NodeState } from '../src/node/state.js'
import type { HostDirectory } from '../src/node/tasks/directory.js'
import type { PeerSynchronizer } from '../src/node/tasks/peers.js'
import { NodeTelemetry } from '../src/node/telemetry.js'
import { LocalTargets } from '../src/request/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeRecord } from './fixtures/records.js'
import { makeState } from './fixtures/state.js'
import { makeCrashes } from './fixtures/suspect.js'

const HOST = 'h1'
const START_MS = 50_000
const ANNOUNCEMENT = announcementSchema.parse({ service: 'desk', target: 'i-1', address: '127.0.0.1:7000' })

interface StartingNode { state: NodeState, registration: LocalHostRegistration }

function startNode (): StartingNode {
  const clock = makeClock(START_MS)
  const state = makeState({ host: HOST, incarnation: clock.now() }, clock)
  const registration = new LocalHostRegistration({
    state,
    clock,
    telemetry: new NodeTelemetry(state, clock),
    localTargets: new LocalTargets(state.localHost, () => state.snapshotTable.current, clock),
    crashWatch: makeCrashes(HOST, clock).crashes,
    directory: { notifyChanged: () => {} } as unknown as HostDirectory,
    peers: { notifyPeers: async () => {} } as unknown as PeerSynchronizer,
    copies: new RecordCopies(clock)
  })
  return { state, registration }
}

function endRecovery ({ state, registration }: StartingNode): HostRecord | undefined {
  state.markRecovered()
  registration.endRecovery()
  return state.localHost.newestRecord
}

function makeEarlier (change: Partial<HostRecord>): HostRecord {
  return makeRecord(HOST, { incarnation: START_MS - 1_000, targets: [], ...change })
}

test('a mark that only an older record has is not taken over', () => {
  const node = startNode()
  const marks = ['kept', 'cleared'].map(fingerprint => ({ fingerprint, target: 'i-1' }))
  node.registration.receiveOwnRecord(makeEarlier({ sequence: 4, marks }))
  node.registration.receiveOwnRecord(makeEarlier({ sequence: 7, marks: marks.slice(0, 1) }))
  node.registration.receiveOwnRecord(makeEarlier({ sequence: 5, marks }))
  expect(endRecovery(node)?.marks).toEqual(marks.slice(0, 1))
})

test('the first record supersedes the earlier ones, also if the clock was set back', () => {
  const node = startNode()
  const earlier = makeEarlier({ incarnation: START_MS + 60_000 })
  node.registration.receiveOwnRecord(earlier)
  expect(endRecovery(node)?.incarnation).toBeGreaterThan(earlier.incarnation)
})

test('no record is made before the recovery has ended, and changes of that time take effect then, in their order', () => {
  const node = startNode()
  const { state, registration } = node
  registration.receiveHeartbeat({ ...ANNOUNCEMENT, startedAt: 10, sequence: 5 })
  registration.deregisterTarget('i-1', 10)
  registration.receiveHeartbeat({ ...ANNOUNCEMENT, startedAt: 10, sequence: 4 })
  expect(state.localHost.newestRecord).toBeUndefined()
  expect(endRecovery(node)).toMatchObject({ targets: [{ target: 'i-1', state: 'leaving' }], processes: [{ target: 'i-1', startedAt: 10, hasLeft: true }] })
})
