/**
 * Guards against crash marks that flood the fleet: each request in flight on a target that ends gets a mark, and each node that knew the
 * mark used to send it, and its removal, to many peers. Also guards against a removal that does not reach all nodes that know the mark.
 */
import { expect, test } from '@jest/globals'
import { replaceRecordMarks } from '../src/membership/index.js'
import type { HostRecord } from '../src/membership/index.js'
import { storeRecords } from '../src/node/commands/records.js'
import { listOwnMarks } from '../src/node/queries/marks.js'
import type { NodeState } from '../src/node/state.js'
import { addCrashMarks, clearCompleted, clearCrashMarks, ClearedMarkCollector } from '../src/suspect/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeState } from './fixtures/state.js'

interface Node { state: NodeState, collector: ClearedMarkCollector }

const clock = makeClock()

function makeNode (host: string): Node {
  const state = makeState({ host }, clock)
  const collector = new ClearedMarkCollector(host)
  state.suspects.changes.stream.subscribe({ next: change => { collector.collect(change) }, error: () => {}, complete: () => {} })
  return { state, collector }
}

function addMarks ({ state }: Node, fingerprints: readonly string[], source?: string): void {
  addCrashMarks(state.suspects, fingerprints.map(fingerprint => ({ fingerprint, target: 'owner/t', ageMs: 0 })), source)
}

function makeFingerprints (count: number): string[] {
  return Array.from({ length: count }, (_, number) => `request-${number}`)
}

/** Returns the record that the node announces for its marks, if they have changed. */
function makeChangedRecord ({ state }: Node): HostRecord | undefined {
  return replaceRecordMarks(state.localHost, listOwnMarks(state))
}

test('marks of a target that ended with many requests in flight go out in one record', () => {
  const owner = makeNode('owner')
  for (const fingerprint of makeFingerprints(16)) addMarks(owner, [fingerprint])
  expect(makeChangedRecord(owner)?.marks.length).toBe(16)
  expect(makeChangedRecord(owner)).toBeUndefined()
  expect(owner.collector.isIdle).toBe(true)
})

test('a mark that is cleared before it was announced costs one message to its owner and none to the others', () => {
  const owner = makeNode('owner')
  const callerSide = makeNode('caller-side')
  addMarks(owner, ['request'])
  addMarks(callerSide, ['request'], 'owner')
  expect(callerSide.collector.isIdle).toBe(true)
  clearCompleted(callerSide.state.suspects, 'request', ['retried'])
  const sent = callerSide.collector.consume()
  expect(sent).toEqual(new Map([['owner', ['request']], ['retried', ['request']]]))
  clearCrashMarks(owner.state.suspects, sent.get('owner') ?? [], 'caller-side')
  expect(makeChangedRecord(owner)).toBeUndefined()
})

test('the owner of an announced mark passes its removal on to all peers, once', () => {
  const owner = makeNode('owner')
  const peer = makeNode('peer')
  addMarks(owner, ['request', 'other'])
  storeRecords(peer.state, { records: [makeChangedRecord(owner) as HostRecord] }, clock)
  expect(peer.state.suspects.listTargets('request')).toEqual(['owner/t'])
  clearCrashMarks(owner.state.suspects, ['request'], 'caller-side')
  storeRecords(peer.state, { records: [makeChangedRecord(owner) as HostRecord] }, clock)
  expect(peer.state.suspects.listMarks().map(({ fingerprint }) => fingerprint)).toEqual(['other'])
  clearCrashMarks(owner.state.suspects, ['request'], 'caller-side')
  expect(makeChangedRecord(owner)).toBeUndefined()
  expect(owner.collector.isIdle).toBe(true)
})

/** The node that sent the request learns of the crash from its response, before the owner of the target announces the mark. */
test('a record that was made before a crash does not remove the mark of the crash', () => {
  const owner = makeNode('owner')
  const callerSide = makeNode('caller-side')
  storeRecords(callerSide.state, { records: [owner.state.localHost.makeRecord()] }, clock)
  addMarks(callerSide, ['request'], 'owner')
  storeRecords(callerSide.state, { records: [owner.state.localHost.makeRecord()] }, clock)
  expect(callerSide.state.suspects.listTargets('request')).toEqual(['owner/t'])
})

test('a call whose marks another call with the same content cleared still informs the hosts to which it was sent', () => {
  const callerSide = makeNode('caller-side')
  clearCompleted(callerSide.state.suspects, 'request', ['retried'])
  expect(callerSide.collector.consume()).toEqual(new Map([['retried', ['request']]]))
})

test('a node announces no mark that it learned from another node', () => {
  const node = makeNode('other')
  addMarks(node, makeFingerprints(3), 'owner')
  expect(makeChangedRecord(node)).toBeUndefined()
  expect(node.collector.isIdle).toBe(true)
})
