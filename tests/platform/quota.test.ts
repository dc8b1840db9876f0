/**
 * Guards against a built program that does not enforce the quotas of its settings over two nodes, or needs something for quotas where
 * the settings have none.
 */
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { findBlock } from '../../standins/layout/processes.js'
import { makeNodeAddresses, spawnPlatformNode } from '../../standins/layout/platformnode.js'
import { makeHeartbeat, makePlatformConfiguration, makeStoreFixture, withAccounts } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

const QUOTAS = { 'quota-window': '5s', 'quota-overage': '0.1', 'quota-slack': '20', zones: 'a:r,b:r' }
const RATE = 20
const BURST = 10
const HEARTBEAT_MS = 1_500
const TARGET_REQUESTS: number[] = []

let store: StoreFixture
let target: Server
let nodes: ChildProcess[] = []
let callers: string[] = []
let admins: string[] = []
let agent: Agent
let heartbeats: NodeJS.Timeout

async function start (settings: Record<string, string>): Promise<void> {
  TARGET_REQUESTS.length = 0
  agent = new Agent()
  store = await makeStoreFixture()
  target = createServer((message, response) => {
    TARGET_REQUESTS.push(performance.now())
    message.resume()
    response.writeHead(200, { 'x-attempt-id': String(message.headers['x-attempt-id']) }).end('whole')
  })
  const accounts = [{ name: 'press', apiKeys: ['k1'], ratePerS: RATE, burst: BURST }, { name: 'free', apiKeys: ['k2'] }]
  store.server.writeObject('config', 'main', withAccounts(makePlatformConfiguration(3), accounts))
  const block = await findBlock()
  const layout = ['a', 'b'].map((zone, index) => ({ zone, addresses: makeNodeAddresses(block, index) }))
  const [address, port] = (layout[0]?.addresses.target ?? '').split(':')
  target.listen(Number(port), address)
  await once(target, 'listening')
  nodes = layout.map(({ zone, addresses }) => spawnPlatformNode({
    host: `h-${zone}`, zone, region: 'r', service: 'desk', store: store.address, addresses, program: 'target/node.cjs', heartbeatMs: HEARTBEAT_MS, graceMs: 4_000, settings
  }))
  callers = layout.map(({ addresses }) => addresses.caller)
  admins = layout.map(({ addresses }) => addresses.admin)
  let seq = 0
  const control = layout[0]?.addresses.control ?? ''
  const beat = async (): Promise<boolean> => {
    seq += 1
    const body = JSON.stringify(makeHeartbeat({ address: `${address}:${port}`, born: 5, seq }))
    const response = await request(`http://${control}/-/Instances.Heartbeat/i-1`, { method: 'POST', body, dispatcher: agent })
    await response.body.dump()
    return response.statusCode === 200
  }
  await retry(beat)
  heartbeats = setInterval(() => { beat().catch(() => {}) }, HEARTBEAT_MS)
  for (const caller of callers) await retry(async () => (await send(caller, 'k2')).status === 200)
}

async function retry (attempt: () => Promise<boolean>): Promise<void> {
  for (let round = 0; round < 200; round += 1) {
    if (await attempt().catch(() => false)) return
    await delay(50)
  }
  throw new Error('the nodes are not ready')
}

async function send (caller: string, key: string) {
  const headers = { host: 'shop.example', 'x-attempt-id': 'a1', authorization: `Token ${key}` }
  const response = await request(`http://${caller}/read/a`, { headers, dispatcher: agent })
  await response.body.dump()
  return { status: response.statusCode, retryAfter: response.headers['retry-after'] }
}

afterEach(async () => {
  clearInterval(heartbeats)
  await Promise.all(nodes.map(async node => {
    if (node.exitCode !== null) return
    const exited = once(node, 'exit')
    node.kill('SIGKILL')
    await exited
  }))
  target.close()
  target.closeAllConnections()
  await agent.destroy()
  await store.close()
})

test('two nodes in two zones together let through what the bound allows, and refuse the rest with Retry-After', async () => {
  await start(QUOTAS)
  await delay(3_000)
  const before = TARGET_REQUESTS.length
  const startedAt = performance.now()
  const responses = []
  while (performance.now() - startedAt < 4_500) {
    responses.push(...await Promise.all(callers.map(async caller => await send(caller, 'k1'))))
    await delay(5)
  }
  const served = TARGET_REQUESTS.length - before
  expect(served).toBeGreaterThan(RATE * 4.5 * 0.8)
  expect(served).toBeLessThanOrEqual((RATE * 5 + BURST) * 1.1 + 20)
  expect(responses.filter(({ status }) => status === 200).length).toBe(served)
  const refused = responses.filter(({ status }) => status === 429)
  expect(refused.length).toBeGreaterThan(served)
  expect(refused.filter(({ retryAfter }) => !(Number(retryAfter) >= 0.05))).toEqual([])
  expect((await Promise.all(callers.map(async caller => await send(caller, 'k2')))).map(({ status }) => status)).toEqual([200, 200])
  const metrics = await Promise.all(admins.map(async admin => await (await request(`http://${admin}/metrics`, { dispatcher: agent })).body.text()))
  expect(metrics.join()).toMatch(/comfreyspoke_quota_credits_total\{result="refused"\} [1-9]/)
  expect(metrics.join()).toMatch(/comfreyspoke_control_messages_total\{kind="lend",link="zones",direction="sent"\} [1-9]/)
})

test('without settings for quotas nothing is refused and no message is sent', async () => {
  await start({ 'quota-window': '', 'quota-overage': '', 'quota-slack': '', zones: '' })
  const responses = await Promise.all(Array.from({ length: 150 }, async (_, index) => await send(callers[index % 2] ?? '', 'k1')))
  expect(responses.filter(({ status }) => status === 429)).toEqual([])
  const metrics = await Promise.all(admins.map(async admin => await (await request(`http://${admin}/metrics`, { dispatcher: agent })).body.text()))
  expect(metrics.join()).not.toMatch(/quota|lend/)
})
