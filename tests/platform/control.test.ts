/**
 * Guards against heartbeats that come late, from an earlier process, from another writer, or after a
 * leave: none of them may bring a target back or hide it.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { serveControl } from '../../platform/control.js'
import { LocalHost, TargetProcesses } from '../../src/membership/index.js'
import { makeHeartbeat } from '../fixtures/platform.js'

const ADDRESS = '127.0.0.1:9000'

let server: Server
let own: LocalHost
let now: number

beforeEach(async () => {
  own = new LocalHost({ host: 'h', zone: 'a', region: 'r', inbound: '', peer: '', admin: '', incarnation: 1 })
  now = 0
  const lives = new TargetProcesses(own)
  const listener = {
    address: ADDRESS,
    receiveHeartbeat: (heartbeat: Parameters<TargetProcesses['receiveHeartbeat']>[0]) => lives.receiveHeartbeat(heartbeat, now),
    deregisterTarget: (target: string, startedAt: number) => lives.deregister(target, startedAt, now),
    reportInvalidCall: () => {}
  }
  server = createServer((message, response) => { void serveControl(listener, message, response) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
})

afterEach(() => {
  server.close()
  server.closeAllConnections()
})

async function post (path: string, body: unknown): Promise<number> {
  const { port } = server.address() as AddressInfo
  const answer = await fetch(`http://127.0.0.1:${port}${path}`, { method: 'POST', body: typeof body === 'string' ? body : JSON.stringify(body) })
  return answer.status
}

async function beat (target: string, change: Parameters<typeof makeHeartbeat>[0]): Promise<number> {
  return await post(`/-/Instances.Heartbeat/${target}`, makeHeartbeat(change))
}

function listStates (): string[] {
  return own.listHeartbeats().map(({ target }) => `${target} ${own.findAnnouncement(target)?.state ?? ''}`)
}

test('a heartbeat makes the target known, and an acknowledged leave cannot be taken back by a late one', async () => {
  expect(await beat('i-1', { born: 10, seq: 1 })).toBe(200)
  expect(listStates()).toEqual(['i-1 ready'])
  expect(await beat('i-1', { born: 10, seq: 3, state: 'draining' })).toBe(200)
  await beat('i-1', { born: 10, seq: 2 })
  await beat('i-1', { born: 10, seq: 4 })
  expect(listStates()).toEqual(['i-1 leaving'])
})

test('a draining heartbeat that is overtaken still counts', async () => {
  await beat('i-1', { born: 10, seq: 5 })
  await beat('i-1', { born: 10, seq: 4, state: 'draining' })
  expect(listStates()).toEqual(['i-1 leaving'])
})

test('an id that is used again with a later start is a new process, and the old one is heard no more', async () => {
  await beat('i-1', { born: 10, seq: 9, state: 'draining' })
  await beat('i-1', { born: 20, seq: 1 })
  expect(listStates()).toEqual(['i-1 ready'])
  await beat('i-1', { born: 10, seq: 10, state: 'draining' })
  await post('/-/Instances.Deregister/i-1', { born: 10 })
  expect(listStates()).toEqual(['i-1 ready'])
})

test('a target that started later takes the place, whatever the earlier one still says', async () => {
  await beat('i-1', { born: 10, seq: 1 })
  await beat('i-2', { born: 20, seq: 1 })
  await beat('i-1', { born: 10, seq: 2 })
  expect(listStates()).toEqual(['i-2 ready'])
})

test('a leave without a draining heartbeat before it counts at once', async () => {
  await beat('i-1', { born: 10, seq: 1 })
  expect(await post('/-/Instances.Deregister/i-1', { born: 10 })).toBe(200)
  await beat('i-1', { born: 10, seq: 2 })
  expect(listStates()).toEqual(['i-1 leaving'])
})

test.each([
  ['bytes that are no JSON', '{"address'],
  ['no state', { ...makeHeartbeat() as object, status: { seq: 2 } }],
  ['a state that is not named', makeHeartbeat({ state: 'resting' })],
  ['slots in words', makeHeartbeat({ slots: 'six' })],
  ['the address of another host', makeHeartbeat({ address: '127.0.0.2:9000' })]
])('%s names no target and harms no other', async (_name, body) => {
  await beat('i-1', { born: 10, seq: 1 })
  expect(await post('/-/Instances.Heartbeat/i-2', body)).toBe(400)
  expect(listStates()).toEqual(['i-1 ready'])
})
