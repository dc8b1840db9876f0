/**
 * Guards against responses of the platform's store that are misinterpreted: a lost response, a rejection, a conflicting
 * version, and an expired history.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { PlatformStore } from '../../platform/store.js'
import { makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

const KIND = 'comfreyspoke-host'

let fixture: StoreFixture
let store: PlatformStore

beforeEach(async () => {
  fixture = await makeStoreFixture()
  store = new PlatformStore(fixture.client)
})

afterEach(async () => { await fixture.close() })

test('a write is conditional on the version, and a conflict reports the current version', async () => {
  const created = await store.commands.write({ kind: 'host', name: 'h', expected: 0, value: { a: 1 } })
  if (created.err) throw new Error(created.val.message)
  const again = await store.commands.write({ kind: 'host', name: 'h', expected: 0, value: { a: 2 } })
  expect(again.err && again.val).toMatchObject({ code: 'conflict', version: created.val })
  const replaced = await store.commands.write({ kind: 'host', name: 'h', expected: created.val, value: { a: 3 } })
  expect(replaced.ok && replaced.val > created.val).toBe(true)
  expect((await store.queries.get('host', 'h')).unwrap()).toMatchObject({ name: 'h', value: { a: 3 } })
  const removed = await store.commands.remove({ kind: 'host', name: 'h', expected: created.val })
  expect(removed.err && removed.val.code).toBe('conflict')
})

test('a write to a deleted object is a conflict with version 0', async () => {
  const written = await store.commands.write({ kind: 'host', name: 'h', expected: 7, value: {} })
  expect(written.err && written.val).toMatchObject({ code: 'conflict', version: 0 })
})

test('a list is read over all pages', async () => {
  fixture.server.switches.pageSize = 2
  for (const name of ['a', 'b', 'c', 'd', 'e']) fixture.server.writeObject(KIND, name, { name })
  const listed = (await store.queries.list('host')).unwrap()
  expect(listed.objects.map(({ name }) => name)).toEqual(['a', 'b', 'c', 'd', 'e'])
})

test.each([[503, 'throttled'], [429, 'throttled'], [500, 'unknown'], [400, 'invalid']])('a response with status %i is reported as %s', async (status, code) => {
  fixture.server.switches.refuseWith = status
  const written = await store.commands.write({ kind: 'host', name: 'h', expected: 0, value: {} })
  expect(written.err && written.val.code).toBe(code)
})

test('a write whose response is lost has an unknown outcome, and is visible in the store', async () => {
  fixture.server.switches.loseAnswers = true
  const written = await store.commands.write({ kind: 'host', name: 'h', expected: 0, value: { a: 1 } })
  expect(written.err && written.val.code).toBe('unknown')
  expect((await store.queries.get('host', 'h')).unwrap()?.value).toEqual({ a: 1 })
})

test('a call to an unresponsive store times out', async () => {
  fixture.server.switches.isSilent = true
  const read = await store.queries.get('host', 'h')
  expect(read.err && read.val.code).toBe('unknown')
})

test('a watch from an expired revision is too old', async () => {
  fixture.server.writeObject(KIND, 'a', {})
  fixture.server.discardHistory()
  for await (const event of store.queries.watch('host', 1, new AbortController().signal)) {
    expect(event.err && event.val.code).toBe('too-old')
  }
})

test('a watch emits each change once, in order', async () => {
  const stop = new AbortController()
  const seen: string[] = []
  const from = (await store.queries.list('host')).unwrap().revision
  for (const name of ['a', 'b']) fixture.server.writeObject(KIND, name, {})
  setTimeout(() => { fixture.server.writeObject(KIND, 'c', {}) }, 50)
  for await (const event of store.queries.watch('host', from, stop.signal)) {
    seen.push(event.unwrap().object.name)
    if (seen.length === 3) stop.abort()
  }
  expect(seen).toEqual(['a', 'b', 'c'])
})
