/**
 * Guards against one odd entry of another writer among the host records in the store: one that is nested deeply, has a number that is too
 * large or a port out of range. It must name no target, hide no other record, stop no task and reach no peer, since a peer rejects what
 * it cannot decode.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { StoreClient } from '../../platform/client.js'
import { PlatformStore } from '../../platform/store.js'
import { SeededRandom, SystemClock } from '../../src/core/index.js'
import { hostRecordSchema, supersedeRecord } from '../../src/membership/index.js'
import { collectZoneDigests } from '../../src/node/queries/difference.js'
import type { NodeState } from '../../src/node/state.js'
import { HostDirectory } from '../../src/node/tasks/directory.js'
import { MsgpackCodec } from '../../src/peer/index.js'
import type { ExchangeRequest } from '../../src/peer/index.js'
import { exchangeRequestSchema } from '../../src/peer/messages.js'
import { makeNullLog } from '../fixtures/log.js'
import { listOddRecords, makeExtendedText, makeRecord } from '../fixtures/records.js'
import { makeState } from '../fixtures/state.js'

const OWN_HOST = 'own'
/** Longer than the first two intervals between lists of the store. */
const FOUND_TIMEOUT_MS = 8_000

let server: Server
let client: StoreClient
/** The JSON text of the record in each object, by name. */
let specs: Map<string, string>
let state: NodeState
let stop: AbortController
let task: Promise<void>

function formatObject (name: string, spec: string): string {
  return `{"meta":{"name":${JSON.stringify(name)},"rev":${specs.size}},"spec":${spec},"status":${spec}}`
}

beforeEach(async () => {
  specs = new Map([['good', JSON.stringify(makeRecord('good'))]])
  server = createServer((message, response) => {
    message.resume()
    const items = [...specs].map(([name, spec]) => formatObject(name, spec))
    const page = `{"items":[${items.join()}],"hasMore":false,"currentRev":${specs.size}}`
    response.end(message.method === 'GET' ? page : formatObject(OWN_HOST, '{}'))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  client = new StoreClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  const clock = new SystemClock()
  state = makeState({ host: OWN_HOST, inbound: '127.0.0.1:1', peer: '127.0.0.1:2', admin: '127.0.0.1:3' }, clock)
  state.ownRecords.stream.observe(record => { supersedeRecord(state.localHost, record) }).catch(error => { throw error })
  state.localHost.makeRecord()
  stop = new AbortController()
})

afterEach(async () => {
  stop.abort()
  await task
  await client.close()
  server.close()
})

/** The task must not end, so an error in it fails the test. */
function startTask (): void {
  const store = new PlatformStore(client)
  const directory = new HostDirectory({ state, store, clock: new SystemClock(), random: new SeededRandom(1), log: makeNullLog() })
  task = directory.run(stop.signal)
}

async function findHost (host: string): Promise<void> {
  const endsAt = performance.now() + FOUND_TIMEOUT_MS
  while (state.members.get(host) === undefined && performance.now() < endsAt) await Promise.race([task, delay(10)])
  expect(state.members.get(host)?.host).toBe(host)
}

function listTargets (): string[] {
  return [...state.members.targets.values()].flat().map(({ id }) => id).sort()
}

/** Encodes what this node would tell a peer, and decodes it as the peer does. */
function decodeAtPeer (): ExchangeRequest {
  const zones = collectZoneDigests(state)
  const records = [...state.members.list(), ...state.localHost.newestRecord === undefined ? [] : [state.localHost.newestRecord]]
  const message = { host: OWN_HOST, version: 0, wantsConfiguration: true, zones, records, cleared: [], stamp: { wall: 1, counter: 0 } }
  return new MsgpackCodec().decode(new MsgpackCodec().encode(message), exchangeRequestSchema)
}

test('odd entries name no target, and the task finds the hosts that come later', async () => {
  const odd = listOddRecords('odd')
  for (const [index, [, text]] of odd.entries()) specs.set(`odd${index}`, text.replaceAll('"odd"', `"odd${index}"`))
  startTask()
  await findHost('good')
  specs.set('later', JSON.stringify(makeRecord('later')))
  await findHost('later')
  expect(listTargets()).toEqual(['good/i-good', 'later/i-later'])
  expect(decodeAtPeer().records.map(({ host }) => host)).toEqual(['good', 'later', OWN_HOST])
  expect(Object.keys(decodeAtPeer().zones)).toEqual(['a'])
}, 20_000)

test('an entry in the zone __proto__ does not make peers reject each message of this node', async () => {
  specs.set('odd', JSON.stringify(makeRecord('odd', { zone: '__proto__' })))
  startTask()
  await findHost('good')
  expect(decodeAtPeer().records.map(({ host }) => host)).toEqual(['good', OWN_HOST])
})

test.each(listOddRecords('odd'))('an entry with the %s is not readable', (_name, text) => {
  const parsed = hostRecordSchema.safeParse(JSON.parse(text))
  expect(parsed.success && parsed.data.host === 'odd').toBe(false)
})

test('a record with unknown fields, however deep, counts without them', () => {
  expect(hostRecordSchema.parse(JSON.parse(makeExtendedText('odd')))).toEqual(makeRecord('odd'))
})

test.each(['9007199254740991', '9007199254740990', '253402300800001', '1e999'])('an entry of the own host with the start %s leaves its record one that peers can read', async incarnation => {
  specs.set(OWN_HOST, JSON.stringify(makeRecord(OWN_HOST)).replace(/"incarnation":[0-9]+/, `"incarnation":${incarnation}`))
  startTask()
  await findHost('good')
  expect(decodeAtPeer().records.map(({ host }) => host)).toEqual(['good', OWN_HOST])
})
