/**
 * Updates between nodes: small for small edits, and refused when the base or the content is another one.
 */
import { describe, expect, test } from '@jest/globals'
import { makeUpdate, MsgpackCodec, readUpdate } from '../src/peer/index.js'
import { makeDeletion, makeEntry } from './fixtures/entry.js'

function makeRoutes (count: number, deadlineMs: number): Record<string, unknown> {
  const routes = Array.from({ length: count }, (_, index) =>
    [`route-${index}`, { methods: ['GET'], path: `/path-${index}`, kind: 'idempotent', deadlineMs: index === 7 ? deadlineMs : 1000 }])
  return { routes: Object.fromEntries(routes) }
}

describe('updates', () => {
  test('one changed field costs a message of less than 160 bytes whatever the size of the document', () => {
    const base = makeEntry('desk', 1, makeRoutes(500, 1000))
    const next = makeEntry('desk', 2, makeRoutes(500, 2000))
    const update = makeUpdate(next, base)
    expect(update.patch).toBeDefined()
    expect(new MsgpackCodec().encode(update).length).toBeLessThan(160)
    expect(readUpdate(update, base).unwrap()).toEqual(next)
  })

  test('a patch against a version that is not held is refused', () => {
    const update = makeUpdate(makeEntry('desk', 3, makeRoutes(50, 2000)), makeEntry('desk', 2, makeRoutes(50, 1000)))
    const read = readUpdate(update, makeEntry('desk', 1, makeRoutes(50, 1000)))
    expect(read.err && read.val.code).toBe('unknown_base')
  })

  test('content with another hash is refused', () => {
    const update = { ...makeUpdate(makeEntry('desk', 1), undefined), hash: 'other' }
    const read = readUpdate(update, undefined)
    expect(read.err && read.val.code).toBe('bad_hash')
  })

  test('a deletion has no content', () => {
    expect(readUpdate(makeUpdate(makeDeletion('desk', 4), undefined), undefined).unwrap()).toEqual(makeDeletion('desk', 4))
  })
})
