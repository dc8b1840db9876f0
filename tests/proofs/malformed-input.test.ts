/**
 * Guards against one malformed message that ends the whole process: random bytes, random JSON and random values in the place of valid
 * ones arrive at every port of a node, in the answers of the store and in the objects that another writer stored. The node must go on
 * serving, and no error may reach the handler of last resort.
 */
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { Client, credentials } from '@grpc/grpc-js'
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import { encode } from '@msgpack/msgpack'
import * as fc from 'fast-check'
import { Agent, request } from 'undici'
import { Dialer, MsgpackCodec, PeerClient } from '../../src/peer/index.js'
import { makeNodeAddresses, spawnPlatformNode } from '../../standins/layout/platformnode.js'
import type { NodeAddresses } from '../../standins/layout/platformnode.js'
import { findBlock } from '../../standins/layout/processes.js'
import { makeHeartbeat, makePlatformConfiguration, makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

const SEED = Number(process.env.FC_SEED ?? 20_261_204)
const RUNS = Number(process.env.FC_RUNS ?? 40)
const PORTS = ['caller', 'inbound', 'ready', 'control', 'peer', 'admin'] as const
const READY_TIMEOUT_MS = 20_000
const ANSWER_TIMEOUT_MS = 1_000
/** The node lists the hosts at least once in this time. */
const LIST_TIMEOUT_MS = 8_000
/** Time in which the node reads the store several times. */
const STORE_READS_MS = 2_500

let store: StoreFixture
let addresses: NodeAddresses
let node: ChildProcess
let target: Server
let agent: Agent

function sample<T> (arbitrary: fc.Arbitrary<T>, runs = RUNS): T[] {
  return fc.sample(arbitrary, { seed: SEED, numRuns: runs })
}

const anyValue = fc.oneof(fc.jsonValue(), fc.constant(null), fc.integer(), fc.string())

/** Values of the right shape with one part replaced by another value. Some of them are valid, so the node puts them to use. */
function mutatePart (value: unknown): fc.Arbitrary<unknown> {
  if (typeof value !== 'object' || value === null || Object.keys(value).length === 0) return anyValue
  return fc.constantFrom(...Object.entries(value)).chain(([key, part]) => mutatePart(part).map(mutated =>
    Array.isArray(value) ? value.map((item, index) => String(index) === key ? mutated : item) : { ...value, [key]: mutated }))
}

/** Values of the right shape in which any part may be replaced by any other value. */
function mutate (value: unknown): fc.Arbitrary<unknown> {
  const entries = typeof value === 'object' && value !== null ? Object.entries(value) : undefined
  if (entries === undefined) return fc.oneof({ arbitrary: fc.constant(value), weight: 3 }, anyValue)
  const parts = fc.record(Object.fromEntries(entries.map(([key, part]) => [key, mutate(part)])), { requiredKeys: [] })
  return fc.oneof({ arbitrary: parts.map(record => Array.isArray(value) ? Object.values(record) : record), weight: 6 }, anyValue)
}

async function writeRaw (address: string, bytes: Uint8Array | string): Promise<void> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  socket.on('error', () => {})
  await once(socket, 'connect')
  socket.write(bytes)
  await Promise.race([once(socket, 'close'), delay(20)])
  socket.destroy()
}

async function post (address: string, path: string, body: string): Promise<number> {
  try {
    const response = await request(`http://${address}${path}`, { method: 'POST', body, dispatcher: agent, signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) })
    await response.body.dump()
    return response.statusCode
  } catch {
    return 0
  }
}

async function sendHeartbeat (): Promise<void> {
  const heartbeat = makeHeartbeat({ address: addresses.target, born: 5, seq: Math.floor(performance.now()) })
  expect(await post(addresses.control, '/-/Instances.Heartbeat/i-1', JSON.stringify(heartbeat))).toBe(200)
}

async function awaitServing (): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS
  let status = 0
  while (status !== 200 && performance.now() < deadline) {
    const headers = { host: 'shop.example', 'x-attempt-id': `a${performance.now()}`, 'x-timeout-ms': '900' }
    const response = await request(`http://${addresses.caller}/read/a`, { headers, dispatcher: agent }).catch(() => undefined)
    await response?.body.dump()
    status = response?.statusCode ?? 0
    if (status !== 200) await delay(50)
  }
  expect([status, node.exitCode, node.signalCode]).toEqual([200, null, null])
}

/** Otherwise the node would have left out all objects by their names, and none would have been put to use. */
async function expectReadHosts (): Promise<void> {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const deadline = performance.now() + LIST_TIMEOUT_MS
  let hosts: string[] = []
  while (hosts.length === 0 && performance.now() < deadline) {
    const status = await client.queryStatus(addresses.peer)
    hosts = status.ok ? status.val.records.flatMap(({ host }) => /^x\d+$/.test(host) ? host : []) : []
    if (hosts.length === 0) await delay(50)
  }
  client.close()
  expect(hosts.length).toBeGreaterThan(0)
}

async function expectNoUnexpectedError (): Promise<void> {
  const response = await request(`http://${addresses.admin}/metrics`, { dispatcher: agent })
  expect(await response.body.text()).not.toContain('unexpected_errors_total')
}

beforeAll(async () => {
  agent = new Agent()
  store = await makeStoreFixture()
  store.server.writeObject('config', 'main', makePlatformConfiguration(3))
  addresses = makeNodeAddresses(await findBlock(), 0)
  target = createServer((message, response) => {
    response.writeHead(200, { 'x-attempt-id': String(message.headers['x-attempt-id']), 'x-response-signature': 's' })
    response.end('whole')
  })
  const [host, port] = addresses.target.split(':')
  target.listen(Number(port), host)
  node = spawnPlatformNode({
    host: 'h1', zone: 'a', region: 'r', service: 'desk', store: store.address, addresses, program: 'target/node.cjs', heartbeatMs: 60_000, graceMs: 4_000
  })
  while (await post(addresses.control, '/-/Instances.Heartbeat/i-1', JSON.stringify(makeHeartbeat({ address: addresses.target, born: 5 }))) !== 200) await delay(50)
  await awaitServing()
}, 60_000)

afterAll(async () => {
  const exit = once(node, 'exit')
  node.kill('SIGKILL')
  await exit
  target.close()
  target.closeAllConnections()
  await agent.destroy()
  await store.close()
})

test.each(PORTS)('random bytes and requests at the port %s', async port => {
  const bytes = fc.oneof(fc.uint8Array({ maxLength: 400 }), fc.string({ maxLength: 200 }), fc.string().map(text => `POST /${text} HTTP/1.1\r\n${text}: ${text}\r\n\r\n`))
  for (const input of sample(bytes)) await writeRaw(addresses[port], input)
  await awaitServing()
  await expectNoUnexpectedError()
})

const HEARTBEAT = makeHeartbeat({ address: '1.2.3.4:5', born: 7 })

test('heartbeats and deregistrations with random values', async () => {
  for (const value of sample(fc.tuple(fc.oneof(mutate(HEARTBEAT), mutatePart(HEARTBEAT)), fc.string()))) {
    await post(addresses.control, `/-/Instances.Heartbeat/${encodeURIComponent(value[1])}`, JSON.stringify(value[0]))
    await post(addresses.control, `/-/Instances.Deregister/${encodeURIComponent(value[1])}`, JSON.stringify(value[0]))
  }
  await sendHeartbeat()
  await awaitServing()
  await expectNoUnexpectedError()
})

const RECORD = {
  host: 'h2',
  zone: 'a',
  region: 'r',
  inbound: '127.0.0.1:1',
  peer: '127.0.0.1:1',
  admin: '127.0.0.1:1',
  incarnation: 1,
  sequence: 1,
  state: 'serving',
  targets: [{ service: 'desk', target: 'i-2', address: '127.0.0.1:1', slots: 6, connections: 10, labels: {}, state: 'leaving' }]
}
/** A record is read only from the object that bears the name of its host. */
function renameHost (record: unknown, host: string): unknown {
  const hasName = typeof record === 'object' && record !== null && 'host' in record && record.host === RECORD.host
  return hasName ? { ...record, host } : record
}

const EXCHANGE = { host: 'h2', version: 0, wantsConfiguration: true, zones: {}, records: [RECORD], cleared: [], stamp: { wall: 1, counter: 0 } }

test('messages of peers with random values', async () => {
  const client = new Client(addresses.peer, credentials.createInsecure())
  const identity = (bytes: Buffer): Buffer => bytes
  const call = async (path: string, bytes: Buffer): Promise<void> => {
    await new Promise<void>(resolve => {
      client.makeUnaryRequest(path, identity, identity, bytes, { deadline: Date.now() + ANSWER_TIMEOUT_MS }, () => { resolve() })
    })
  }
  const messages = fc.oneof(mutate(EXCHANGE), mutatePart(EXCHANGE)).map(message => Buffer.concat([Buffer.from([0]), encode(message)]))
  for (const value of sample(fc.oneof(messages, fc.uint8Array()))) {
    for (const path of ['/comfreyspoke.Peer/Exchange', '/comfreyspoke.OperatorQueries/Timeline', '/comfreyspoke.OperatorCommands/None']) await call(path, Buffer.from(value))
  }
  client.close()
  await awaitServing()
  await expectNoUnexpectedError()
}, 120_000)

test('objects of another writer and responses of the store with random values', async () => {
  for (const [index, record] of sample(fc.oneof(mutate(RECORD), mutatePart(RECORD))).entries()) {
    const name = `x${index}`
    store.server.writeObject('comfreyspoke-host', name, renameHost(record, name))
  }
  await expectReadHosts()
  for (const configuration of sample(fc.oneof(mutate(makePlatformConfiguration(4)), mutatePart(makePlatformConfiguration(4))))) {
    store.server.writeObject('config', 'main', configuration)
    await delay(STORE_READS_MS / RUNS)
  }
  for (const answer of sample(fc.oneof(fc.string(), fc.json(), mutate({ items: [{ meta: { name: 'main', rev: 3 }, spec: {} }], events: [], currentRev: 1 }).map(value => JSON.stringify(value))))) {
    store.server.switches = { ...store.server.switches, answerWith: answer }
    await delay(STORE_READS_MS / RUNS)
  }
  store.server.switches = { ...store.server.switches, answerWith: undefined }
  store.server.writeObject('config', 'main', makePlatformConfiguration(100_000))
  await delay(STORE_READS_MS)
  await sendHeartbeat()
  await awaitServing()
  await expectNoUnexpectedError()
}, 120_000)
