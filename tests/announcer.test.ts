/**
 * Guards against crash marks that flood the fleet: each request in flight on a target that ends gets a mark, and each node that knew the
 * mark used to send it, and its removal, to many peers. Also guards against a removal that does not reach all nodes that know the mark.
 */
import { expect, test } from '@jest/globals'
import { addCrashMarks, clearCompleted, clearCrashMarks, CrashMarkAnnouncer, SuspectTable } from '../src/suspect/index.js'
import type { SuspectMessages } from '../src/suspect/index.js'
import { makeClock } from './fixtures/clock.js'

interface Node { table: SuspectTable, announcer: CrashMarkAnnouncer }

const NOTHING: SuspectMessages = { marks: [], cleared: [], clearedByHost: new Map() }

function makeNode (host: string): Node {
  const table = new SuspectTable(makeClock())
  const announcer = new CrashMarkAnnouncer(host)
  table.changes.stream.subscribe({ next: change => { announcer.collect(change) }, error: () => {}, complete: () => {} })
  return { table, announcer }
}

function addMarks ({ table }: Node, fingerprints: readonly string[], source?: string): void {
  addCrashMarks(table, fingerprints.map(fingerprint => ({ fingerprint, target: 'owner/t', ageMs: 0 })), source)
}

function makeFingerprints (count: number): string[] {
  return Array.from({ length: count }, (_, number) => `request-${number}`)
}

test('marks of a target that ended with many requests in flight go out in one message', () => {
  const owner = makeNode('owner')
  for (const fingerprint of makeFingerprints(16)) addMarks(owner, [fingerprint])
  expect(owner.announcer.consume().marks.length).toBe(16)
  expect(owner.announcer.isIdle).toBe(true)
  expect(owner.announcer.consume()).toEqual(NOTHING)
})

test('a mark that is cleared before it was announced costs one message to its owner and none to the others', () => {
  const owner = makeNode('owner')
  const callerSide = makeNode('caller-side')
  addMarks(owner, ['request'])
  addMarks(callerSide, ['request'], 'owner')
  expect(callerSide.announcer.isIdle).toBe(true)
  clearCompleted(callerSide.table, 'request', ['retried'])
  const sent = callerSide.announcer.consume()
  expect(sent).toEqual({ marks: [], cleared: [], clearedByHost: new Map([['owner', ['request']], ['retried', ['request']]]) })
  clearCrashMarks(owner.table, sent.clearedByHost.get('owner') ?? [], 'caller-side')
  expect(owner.announcer.consume()).toEqual(NOTHING)
})

test('the owner of an announced mark passes its removal on to all peers, once', () => {
  const owner = makeNode('owner')
  addMarks(owner, ['request'])
  owner.announcer.consume()
  clearCrashMarks(owner.table, ['request'], 'caller-side')
  expect(owner.announcer.consume()).toEqual({ ...NOTHING, cleared: ['request'] })
  clearCrashMarks(owner.table, ['request'], 'caller-side')
  expect(owner.announcer.isIdle).toBe(true)
})

test('a call whose marks another call with the same content cleared still informs the hosts to which it was sent', () => {
  const callerSide = makeNode('caller-side')
  clearCompleted(callerSide.table, 'request', ['retried'])
  expect(callerSide.announcer.consume().clearedByHost).toEqual(new Map([['retried', ['request']]]))
})

test('a node announces no mark that it learned from another node', () => {
  const node = makeNode('other')
  addMarks(node, makeFingerprints(3), 'owner')
  expect(node.announcer.isIdle).toBe(true)
})
