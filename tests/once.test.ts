/**
 * Guards against keys that are accepted though their records may be gone, and against claims that no longer fit in a shard.
 */
import { describe, expect, test } from '@jest/globals'
import { checkDocument } from '../src/document/index.js'
import { readKeyTime } from '../src/once/index.js'
import { hasRoom, mergeChanges } from '../src/once/queries/merge.js'
import { makeKey } from './fixtures/claimants.js'
import { makeDocument } from './fixtures/document.js'

const NOW = 1_800_000_000_000
const HOUR_MS = 3_600_000

function readStatus (key: string | undefined, time?: string): number {
  const read = readKeyTime({ key, time, allowsTime: time !== undefined }, NOW)
  return read.ok ? 200 : read.val.status
}

describe('the time of a key', () => {
  test.each([
    ['now', 0, 200], ['nearly 23 hours old', -23 * HOUR_MS, 200], ['older than 23 hours', -23 * HOUR_MS - 1, 410],
    ['5 minutes ahead', 300_000, 200], ['more than 5 minutes ahead', 300_001, 400]
  ])('%s', (_name, offset, status) => {
    expect(readStatus(makeKey(NOW + offset, 1))).toBe(status)
    expect(readStatus('order-17', String(NOW + offset))).toBe(status)
  })

  test('a key without time, without characters or with too many is refused', () => {
    expect([undefined, '', 'order-17', 'a b', 'x'.repeat(256)].map(key => readStatus(key))).toEqual([400, 400, 400, 400, 400])
    expect(readStatus('order-17', 'yesterday')).toBe(400)
  })

  test('the header does not change the time of a UUIDv7', () => {
    expect(readStatus(makeKey(NOW - 24 * HOUR_MS, 1), String(NOW))).toBe(410)
  })
})

test('a full shard first loses the kept bodies, then takes no more claims', () => {
  const entry = { attempt: 'a'.repeat(36), node: 'host-1', hash: 'h'.repeat(16) }
  const makeShard = (entries: number): ReturnType<typeof mergeChanges> => ({
    claims: Object.fromEntries(Array.from({ length: entries }, (_, index) =>
      [`desk ${index} ${'k'.repeat(30)}`, { ...entry, state: 'done' as const, status: 200, body: 'x'.repeat(100) }]))
  })
  const change = { id: 'desk new', attempt: 'b', claim: { ...entry, attempt: 'b', state: 'claimed' as const } }
  expect(mergeChanges(makeShard(100), [change]).claims['desk 1 ' + 'k'.repeat(30)]?.body).toBeDefined()
  const large = mergeChanges(makeShard(3_000), [change])
  expect(large.claims['desk 1 ' + 'k'.repeat(30)]?.body).toBeUndefined()
  expect(hasRoom(large)).toBe(true)
  const full = mergeChanges(makeShard(4_500), [change])
  expect(hasRoom(full)).toBe(false)
  expect(JSON.stringify(full).length).toBeLessThan(1_000_000)
})

test('a once route whose bodies cannot be held is refused', () => {
  const { confirm } = makeDocument().routes
  const checked = checkDocument({ service: 'desk', routes: { confirm: { ...confirm, maxBodyBytes: 2 ** 20 + 1 } } })
  expect(checked.val).toMatchObject([{ code: 'once_body_too_large', path: ['routes', 'confirm', 'maxBodyBytes'] }])
})
