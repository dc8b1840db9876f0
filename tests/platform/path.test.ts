/**
 * Guards against a built program that does not serve requests, and against limits for callers that are not those of the version in
 * force. The tests run the node as a separate process with a store, a target and a caller.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { findFreeAddress } from '../fixtures/address.js'
import { makeHeartbeat, makePlatformConfiguration, makeStoreFixture, withAccounts } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

const PORTS = ['caller', 'inbound', 'ready', 'control', 'peer', 'admin'] as const

/** The target accepts larger heads than the node lets callers send. */
const TARGET_HEAD_BYTES = 128 * 1024

/** The time of a request on a machine that reports its figure. */
const SLOW_MS = 300

let store: StoreFixture
let target: Server
let received: IncomingMessage[]
let node: ChildProcess
let output: string
let addresses: Record<string, string>
let agent: Agent

async function send (address: string, path: string, options: { method?: 'GET' | 'POST', headers?: Record<string, string>, body?: string } = {}) {
  const { method = 'GET', headers = {}, body = null } = options
  const response = await request(`http://${address}${path}`, { method, headers, body, dispatcher: agent })
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

async function awaitReady (): Promise<void> {
  for (let round = 0; round < 200; round += 1) {
    const response = await send(addresses.ready ?? '', '/-/readyz').catch(() => undefined)
    if (response?.status === 200) return
    await delay(50)
  }
  throw new Error(`the node is not ready: ${output}`)
}

beforeEach(async () => {
  agent = new Agent()
  store = await makeStoreFixture()
  received = []
  target = createServer({ maxHeaderSize: TARGET_HEAD_BYTES }, (message, response) => {
    received.push(message)
    message.resume()
    const respond = (headers: Record<string, string> = {}): void => {
      response.writeHead(200, { 'x-attempt-id': String(message.headers['x-attempt-id']), 'x-response-signature': 's1', ...headers })
      response.end('whole')
    }
    if (message.url?.startsWith('/read/slow') === true) setTimeout(() => { respond({ 'x-server-load': '1,0,1,100' }) }, SLOW_MS)
    else respond()
  })
  target.listen(0, '127.0.0.1')
  await once(target, 'listening')
  addresses = { target: `127.0.0.1:${(target.address() as AddressInfo).port}`, store: store.address }
  for (const name of PORTS) addresses[name] = await findFreeAddress()
  const values = {
    host: 'h1', zone: 'a', region: 'r', service: 'gallery', heartbeat: '1500ms', grace: '4s', 'retry-ratio': '0.2', 'retry-extra': '64', 'retry-window': '10s', ...addresses
  }
  const file = join(mkdtempSync(join(tmpdir(), 'node-')), 'node.settings')
  writeFileSync(file, Object.entries(values).map(([name, value]) => `${name}=${value}`).join('\n'))
  node = spawn(process.execPath, ['target/node.cjs'], { env: { ...process.env, NODE_OPTIONS: '', COMFREYSPOKE_SETTINGS: file } })
  output = ''
  for (const stream of [node.stdout, node.stderr]) stream?.on('data', chunk => { output += String(chunk) })
})

afterEach(async () => {
  if (node.exitCode === null) node.kill('SIGKILL')
  target.close()
  target.closeAllConnections()
  await agent.destroy()
  await store.close()
})

test('a node serves its callers from the configuration in the store and exits on SIGTERM', async () => {
  await delay(300)
  const earlyResponse = await send(addresses.caller ?? '', '/read/a', { headers: { host: 'shop.example', 'x-attempt-id': 'a0' } }).catch(() => undefined)
  if (earlyResponse !== undefined) expect([earlyResponse.status, earlyResponse.headers['retry-after'] !== undefined]).toEqual([503, true])
  store.server.writeObject('config', 'main', makePlatformConfiguration(3))
  await awaitReady()
  const heartbeat = JSON.stringify(makeHeartbeat({ address: addresses.target ?? '', born: 5 }))
  expect((await send(addresses.control ?? '', '/-/Instances.Heartbeat/i-1', { method: 'POST', body: heartbeat })).status).toBe(200)
  const headers = { host: 'shop.example', 'x-attempt-id': 'a1', 'x-timeout-ms': '900', 'x-caller-service': 'admin' }
  const response = await send(addresses.caller ?? '', '/read/a?b=1', { headers })
  expect(response).toMatchObject({ status: 200, text: 'whole', headers: { 'x-response-signature': 's1' } })
  const forwarded = received.at(-1)?.headers ?? {}
  expect([received.at(-1)?.url, forwarded['x-target-instance'], forwarded['x-caller-service'], forwarded.host]).toEqual(['/read/a?b=1', 'i-1', 'gallery', 'shop.example'])
  expect(Number(forwarded['x-timeout-ms'])).toBeLessThanOrEqual(900)
  expect((await send(addresses.caller ?? '', '/other/a', { headers })).status).toBe(404)
  expect(store.server.find('comfreyspoke-host', 'h1')).toBeDefined()
  // The settings name no bounds of rollouts, so they cost no call and no byte.
  expect(store.server.calls.filter(call => call.includes('rollouts'))).toEqual([])
  expect(JSON.stringify(store.server.find('comfreyspoke-host', 'h1')?.spec)).not.toContain('"v1"')
  node.kill('SIGTERM')
  await delay(50)
  expect((await send(addresses.ready ?? '', '/-/readyz')).status).toBe(503)
  const [code] = await once(node, 'exit')
  expect(code).toBe(0)
})

test('while accounts are in force requests wait if they can be in time, and are refused at once if not', async () => {
  store.server.writeObject('config', 'main', withAccounts(makePlatformConfiguration(3), [{ name: 'press', apiKeys: ['k1'] }]))
  await awaitReady()
  const heartbeat = JSON.stringify(makeHeartbeat({ address: addresses.target ?? '', born: 5, slots: 1 }))
  await send(addresses.control ?? '', '/-/Instances.Heartbeat/i-1', { method: 'POST', body: heartbeat })
  const sendSlow = async (id: string) => await send(addresses.caller ?? '', '/read/slow', { headers: { host: 'shop.example', 'x-attempt-id': id, authorization: 'Token k1' } })
  for (let index = 0; index < 4; index += 1) expect((await sendSlow(`w${index}`)).status).toBe(200)
  const order: number[] = []
  await Promise.all([0, 1, 2, 3].map(async index => { order.push((await sendSlow(`p${index}`)).status) }))
  // One has the slot, one waits for it, and the others would be late.
  expect(order).toEqual([503, 503, 200, 200])
  expect(received.map(({ headers }) => Object.keys(headers).filter(name => name.startsWith('x-comfreyspoke'))).flat()).toEqual([])
  const metrics = await send(addresses.admin ?? '', '/metrics')
  expect(metrics.text).toMatch(/comfreyspoke_refusals_total\{code="no_time",class="[a-z]+"\} 2/)
})

/** The connection is one that was opened before the node had a configuration, as callers keep theirs. */
test('the limit for request heads is that of the version in force, also on connections that are older', async () => {
  const single = new Agent({ connections: 1 })
  const sendHead = async (bytes: number): Promise<number> => {
    const headers = { host: 'shop.example', 'x-attempt-id': 'a1', 'x-a': 'a'.repeat(bytes) }
    const response = await request(`http://${addresses.caller ?? ''}/read/a`, { headers, dispatcher: single })
    await response.body.dump()
    return response.statusCode
  }
  let early = 0
  while (early !== 503) early = await sendHead(10).catch(async () => await delay(20, 0))
  store.server.writeObject('config', 'main', makePlatformConfiguration(3, [{}], ['desk'], { maxHeaderBytes: 65_536 }))
  await awaitReady()
  const heartbeat = JSON.stringify(makeHeartbeat({ address: addresses.target ?? '', born: 5 }))
  expect((await send(addresses.control ?? '', '/-/Instances.Heartbeat/i-1', { method: 'POST', body: heartbeat })).status).toBe(200)
  expect([await sendHead(60_000), await sendHead(66_000)]).toEqual([200, 431])
  await single.destroy()
})
