/**
 * Guards against a fault of the platform that the HTTP store client reports under a wrong code. "Not executed" and
 * "no response" lead to different verdicts, since a call without a response may have been executed.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { DocumentSource } from '../src/configuration/index.js'
import { SeededRandom, SystemClock } from '../src/core/index.js'
import { followConfiguration } from '../src/node/tasks/configuration.js'
import { HttpObjectStore } from '../src/store/index.js'
import type { ConfigurationUpdate } from '../src/configuration/index.js'
import type { WatchEvent } from '../src/store/index.js'
import { PlatformServer } from '../standins/platform/server.js'
import { makeDocument } from './fixtures/document.js'
import { makeNullLog } from './fixtures/log.js'

let server: PlatformServer
let store: HttpObjectStore

beforeEach(async () => {
  server = new PlatformServer()
  store = new HttpObjectStore(await server.listen(0), 500)
})

afterEach(async () => {
  await store.close()
  await server.close()
})

async function writeValue (expected: number, value: unknown = 'a'): Promise<unknown> {
  return (await store.commands.write({ kind: 'service', name: 'desk', expected, value })).val
}

describe('conditional changes', () => {
  test('a removal takes effect at its expected version only, and versions keep increasing', async () => {
    const version = await writeValue(0) as number
    expect((await store.commands.remove({ kind: 'service', name: 'desk', expected: version + 1 })).val).toMatchObject({ code: 'conflict', version })
    expect((await store.commands.remove({ kind: 'service', name: 'desk', expected: version })).ok).toBe(true)
    expect((await store.queries.get('service', 'desk')).val).toBeUndefined()
    expect((await store.commands.remove({ kind: 'service', name: 'desk', expected: version })).val).toMatchObject({ code: 'conflict', version: 0 })
    expect(await writeValue(0)).toBeGreaterThan(version)
  })

  test('a lost request and a lost response both have an unknown outcome', async () => {
    server.setSwitches({ loseRequests: 1 })
    expect(await writeValue(0)).toMatchObject({ code: 'unknown' })
    expect(server.objects.get('service', 'desk')).toBeUndefined()
    server.setSwitches({ loseAnswers: 1 })
    expect(await writeValue(0)).toMatchObject({ code: 'unknown' })
    expect(server.objects.get('service', 'desk')).toBeDefined()
  })

  test('a call above the time limit has an unknown outcome, a call above the rate limit is throttled', async () => {
    server.setSwitches({ slowMsByCall: { write: 1_000 } })
    expect(await writeValue(0)).toMatchObject({ code: 'unknown' })
    server.setSwitches({ slowMsByCall: {}, perSecondByCall: { write: 0 } })
    expect(await writeValue(0)).toMatchObject({ code: 'throttled' })
    expect((await store.queries.get('service', 'other')).ok).toBe(true)
  })

  test('a value above a megabyte is rejected by the client and by the platform', async () => {
    expect(await writeValue(0, 'x'.repeat(1_000_001))).toMatchObject({ code: 'too-large' })
    const rejected = server.objects.write({ kind: 'service', name: 'desk', expected: 0, value: 'x'.repeat(1_000_001) })
    expect(rejected.val).toMatchObject({ code: 'too-large' })
  })
})

describe('lists and watches', () => {
  test('a stale list has the revision of its state, so that a watch from there misses no change', async () => {
    const first = await writeValue(0, 'old') as number
    await writeValue(first, 'new')
    server.setSwitches({ lagLists: 1 })
    const listed = (await store.queries.list('service')).unwrap()
    expect(listed.objects.map(object => object.value)).toEqual(['old'])
    const stop = new AbortController()
    for await (const event of store.queries.watch('service', listed.revision, stop.signal)) {
      expect((event.val as WatchEvent).object.value).toBe('new')
      stop.abort()
    }
  })

  test('an expired watch ends, and a watch from an expired revision is too old', async () => {
    await writeValue(0)
    const stop = new AbortController()
    const ends: unknown[] = []
    const watching = (async () => {
      for await (const event of store.queries.watch('service', 0, stop.signal)) {
        ends.push(event.err ? event.val.code : 'event')
        if (event.ok) server.setSwitches({ expireWatches: true })
      }
    })()
    await watching
    expect(ends).toEqual(['event', 'unreachable'])
    for await (const event of store.queries.watch('service', 0, stop.signal)) expect(event.val).toMatchObject({ code: 'too-old' })
  })

  test('an edit arrives although the open watch is unresponsive', async () => {
    const stop = new AbortController()
    const { promise: seen, resolve } = makeSignal()
    const clock = new SystemClock()
    const onUpdate = (update: ConfigurationUpdate): void => {
      if (update.kind === 'configuration' && update.configuration.entries.length > 0) resolve(update)
    }
    const source = new DocumentSource(store, clock)
    const roles = { isReader: () => true, checkReader: async () => true, getKnownPosition: () => undefined }
    const context = { source, clock, random: new SeededRandom(1), log: makeNullLog(), onUpdate, onSourceState: () => {}, ...roles }
    const running = followConfiguration(context, stop.signal)
    while (server.counts['watch service'] === undefined) await new Promise(resolve => { setTimeout(resolve, 5) })
    server.setSwitches({ silenceWatches: true })
    await writeValue(0, { editId: 'one', acceptedAt: 1, document: makeDocument() })
    expect(await seen).toMatchObject({ configuration: { entries: [{ service: 'desk', version: 1 }] } })
    stop.abort()
    await running
  })
})

function makeSignal (): { promise: Promise<ConfigurationUpdate>, resolve: (update: ConfigurationUpdate) => void } {
  let resolve = (_update: ConfigurationUpdate): void => {}
  const promise = new Promise<ConfigurationUpdate>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}
