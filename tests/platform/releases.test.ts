/**
 * Guards against a built program in which the parts of a rollout do not work together: nodes as separate processes with a store, targets of
 * two versions and callers.
 */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { findFreeAddress } from '../fixtures/address.js'
import { makePlatformConfiguration, makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'

const PORTS = ['caller', 'inbound', 'ready', 'control', 'peer', 'admin'] as const
const HOSTS = 6
const CALL_INTERVAL_MS = 5
const WORK_MS = 10
const STARTED_AT = 1_700_000_000_000
const LIMIT_MS = 30_000

interface TestHost { node: ChildProcess, addresses: Record<string, string>, server: Server, version: string, sequence: number, runs: number[] }

let store: StoreFixture
let agent: Agent
let hosts: TestHost[]
let failureRate: number
let output: string
let calls: { total: number, failed: number }
let stopped: AbortController

async function startHost (index: number): Promise<TestHost> {
  const version = index < HOSTS / 2 ? 'v1' : 'v2'
  const runs: number[] = []
  const server = createServer((message, response) => {
    message.resume()
    runs.push(performance.now())
    const isFailure = version === 'v2' && Math.random() < failureRate
    setTimeout(() => {
      response.writeHead(isFailure ? 500 : 200, { 'x-attempt-id': String(message.headers['x-attempt-id']), 'x-response-signature': 's1' })
      response.end('whole')
    }, WORK_MS)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const addresses: Record<string, string> = { target: `127.0.0.1:${(server.address() as AddressInfo).port}`, store: store.address }
  for (const name of PORTS) addresses[name] = await findFreeAddress()
  const values = {
    host: `h${index}`,
    zone: 'a',
    region: 'r',
    service: 'desk',
    heartbeat: '1500ms',
    grace: '4s',
    'retry-ratio': '0.2',
    'retry-extra': '64',
    'retry-window': '10s',
    'expose-share': '0.1',
    'expose-slack': '50',
    rollback: '5s',
    ...addresses
  }
  const file = join(mkdtempSync(join(tmpdir(), 'node-')), 'node.settings')
  writeFileSync(file, Object.entries(values).map(([name, value]) => `${name}=${value}`).join('\n'))
  const node = spawn(process.execPath, ['target/node.cjs'], { env: { ...process.env, NODE_OPTIONS: '', COMFREYSPOKE_SETTINGS: file } })
  for (const stream of [node.stdout, node.stderr]) stream.on('data', chunk => { output += String(chunk) })
  return { node, addresses, server, version, sequence: 0, runs }
}

async function post (address: string, path: string, body: unknown): Promise<void> {
  const response = await request(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body), dispatcher: agent })
  await response.body.dump()
}

async function sendHeartbeats (): Promise<void> {
  while (!stopped.signal.aborted) {
    await Promise.all(hosts.map(async (host, index) => {
      host.sequence += 1
      const info = { service: 'desk', version: host.version, zone: 'a', slots: 6 }
      const status = { state: 'ready', seq: host.sequence, coldLeft: '0ms' }
      const heartbeat = { address: host.addresses.target, born: STARTED_AT + index * 1_000, info, status }
      await post(host.addresses.control ?? '', `/-/Instances.Heartbeat/i-${index}`, heartbeat).catch(() => {})
    }))
    await delay(500)
  }
}

async function sendCalls (): Promise<void> {
  for (let index = 0; !stopped.signal.aborted; index += 1) {
    const address = hosts[index % HOSTS]?.addresses.caller ?? ''
    const headers = { host: 'shop.example', 'x-attempt-id': `a${index}`, 'x-timeout-ms': '900' }
    calls.total += 1
    request(`http://${address}/read/a`, { headers, dispatcher: agent }).then(async response => {
      await response.body.dump()
      if (response.statusCode !== 200) calls.failed += 1
    }).catch(() => { calls.failed += 1 })
    await delay(CALL_INTERVAL_MS)
  }
}

async function awaitState (): Promise<string> {
  const endsAt = performance.now() + LIMIT_MS
  while (performance.now() < endsAt) {
    const status = store.server.find('rollouts', 'desk')?.status as { state?: string } | null | undefined
    if (status?.state === 'completed' || status?.state === 'rolled_back') return status.state
    await delay(20)
  }
  return output.split('\n').filter(line => line.includes('rollout') || line.includes('unexpected')).join('\n')
}

function countRuns (version: string, from = 0): number {
  return hosts.filter(host => host.version === version).flatMap(({ runs }) => runs.filter(at => at >= from)).length
}

beforeEach(async () => {
  agent = new Agent()
  store = await makeStoreFixture()
  store.server.writeObject('config', 'main', makePlatformConfiguration(1))
  output = ''
  failureRate = 0
  stopped = new AbortController()
  calls = { total: 0, failed: 0 }
  hosts = []
  for (let index = 0; index < HOSTS; index += 1) hosts.push(await startHost(index))
  void sendHeartbeats()
  for (const { addresses } of hosts) {
    for (let round = 0; round < 200; round += 1) {
      const response = await request(`http://${addresses.ready ?? ''}/-/readyz`, { dispatcher: agent }).catch(() => undefined)
      await response?.body.dump()
      if (response?.statusCode === 200) break
      await delay(50)
    }
  }
  await delay(2_000)
}, 30_000)

afterEach(async () => {
  stopped.abort()
  await delay(600)
  for (const { node, server } of hosts) {
    if (node.exitCode === null) node.kill('SIGKILL')
    server.close()
    server.closeAllConnections()
  }
  await agent.destroy()
  await store.close()
})

test.each([['completed', 0, 'v1'], ['rolled_back', 0.5, 'v2']] as const)('a rollout is %s and the other version gets nothing after it', async (state, rate, closed) => {
  failureRate = rate
  void sendCalls()
  await delay(1_500)
  expect(countRuns('v2')).toBe(0)
  store.server.writeObject('rollouts', 'desk', { service: 'desk', targetVersion: 'v2', duration: '20s' })
  expect(await awaitState()).toBe(state)
  const endedAt = performance.now()
  const total = countRuns('v1') + countRuns('v2')
  if (state === 'rolled_back') expect(countRuns('v2')).toBeLessThanOrEqual(0.1 * total)
  await delay(1_500)
  expect(countRuns(closed, endedAt)).toBe(0)
  expect(countRuns(closed === 'v1' ? 'v2' : 'v1', endedAt)).toBeGreaterThan(100)
  const storeCalls = store.server.calls.filter(call => call.includes('rollouts')).length
  console.log(state, JSON.stringify({ v1: countRuns('v1'), v2: countRuns('v2'), ...calls, storeCalls }))
  expect(calls.failed).toBeLessThanOrEqual(state === 'completed' ? 5 : 0.1 * calls.total)
}, 60_000)
