/**
 * Guards against an acknowledgement of what only this process knows, and against one that comes too late because the store does not
 * respond although a peer has the record.
 */
import { expect, test } from '@jest/globals'
import { RecordCopies } from '../src/node/copies.js'
import type { HostRecord } from '../src/membership/index.js'
import { makeClock } from './fixtures/clock.js'
import { settleTasks } from './fixtures/member.js'
import { makeRecord } from './fixtures/records.js'

/** A target waits this long for an acknowledgement. */
const TARGET_WAIT_MS = 1_000
const STEP_MS = 100

const record = makeRecord('h1', { sequence: 2 })
const earlier = makeRecord('h1', { sequence: 1 })
const later = makeRecord('h1', { sequence: 3 })

interface Awaited { isCopied: boolean, afterMs: number }

async function awaitCopy (events: (copies: RecordCopies) => void, find: () => HostRecord | undefined = () => record): Promise<Awaited> {
  const clock = makeClock()
  const copies = new RecordCopies(clock)
  let isCopied: boolean | undefined
  void copies.awaitCopy(find).then(value => { isCopied = value })
  events(copies)
  for (let afterMs = 0; afterMs < TARGET_WAIT_MS; afterMs += STEP_MS) {
    await settleTasks()
    if (isCopied !== undefined) return { isCopied, afterMs }
    clock.advance(STEP_MS)
  }
  throw new Error('there is no result in time')
}

test.each([['the record', record], ['a later record', later]])('%s in the store is a copy at once', async (_name, stored) => {
  expect(await awaitCopy(copies => { copies.recordStored(stored) })).toEqual({ isCopied: true, afterMs: 0 })
})

test('a record at a peer is a copy if the store does not respond in time', async () => {
  const { isCopied, afterMs } = await awaitCopy(copies => { copies.recordShared(record) })
  expect([isCopied, afterMs > 0]).toEqual([true, true])
})

test('an earlier record is no copy', async () => {
  const { isCopied } = await awaitCopy(copies => {
    copies.recordStored(earlier)
    copies.recordShared(earlier)
  })
  expect(isCopied).toBe(false)
})

test('a node that has not made a record yet has no copy of it', async () => {
  expect((await awaitCopy(copies => { copies.recordStored(record) }, () => undefined)).isCopied).toBe(false)
})
