/**
 * Guards against heartbeats that arrive late, come from an earlier process or an invalid sender, or follow a deregistration:
 * none of them may restore or hide a target.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { serveControl } from '../../platform/control.js'
import { LocalHost, TargetProcesses } from '../../src/membership/index.js'
import type { HostRecord } from '../../src/membership/index.js'
import { makeHeartbeat } from '../fixtures/platform.js'

const ADDRESS = '127.0.0.1:9000'

let server: Server
let localHost: LocalHost
let processes: TargetProcesses
let now: number
let wallTime: number
let hasCopy: boolean

beforeEach(async () => {
  localHost = new LocalHost({ host: 'h', zone: 'a', region: 'r', inbound: '', peer: '', admin: '', incarnation: 1 })
  now = 0
  wallTime = 15
  hasCopy = true
  processes = new TargetProcesses(localHost)
  const registrar = {
    address: ADDRESS,
    receiveHeartbeat: (heartbeat: Parameters<TargetProcesses['receiveHeartbeat']>[0]) => processes.receiveHeartbeat(heartbeat, now),
    deregisterTarget: (target: string, startedAt: number) => processes.deregister(target, startedAt, now, wallTime),
    awaitCopy: async () => hasCopy,
    reportInvalidCall: () => {}
  }
  server = createServer((message, response) => { void serveControl(registrar, message, response) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
})

afterEach(() => {
  server.close()
  server.closeAllConnections()
})

async function post (path: string, body: unknown): Promise<number> {
  const { port } = server.address() as AddressInfo
  const response = await fetch(`http://127.0.0.1:${port}${path}`, { method: 'POST', body: typeof body === 'string' ? body : JSON.stringify(body) })
  return response.status
}

async function sendHeartbeat (target: string, change: Parameters<typeof makeHeartbeat>[0]): Promise<number> {
  return await post(`/-/Instances.Heartbeat/${target}`, makeHeartbeat(change))
}

function listStates (): string[] {
  return localHost.listHeartbeats().map(({ target }) => `${target} ${localHost.findAnnouncement(target)?.state ?? ''}`)
}

test('a heartbeat registers the target, and a late heartbeat cannot revert an acknowledged draining state', async () => {
  expect(await sendHeartbeat('i-1', { born: 10, seq: 1 })).toBe(200)
  expect(listStates()).toEqual(['i-1 ready'])
  expect(await sendHeartbeat('i-1', { born: 10, seq: 3, state: 'draining' })).toBe(200)
  await sendHeartbeat('i-1', { born: 10, seq: 2 })
  await sendHeartbeat('i-1', { born: 10, seq: 4 })
  expect(listStates()).toEqual(['i-1 leaving'])
})

test('a draining heartbeat that arrives out of order still counts', async () => {
  await sendHeartbeat('i-1', { born: 10, seq: 5 })
  await sendHeartbeat('i-1', { born: 10, seq: 4, state: 'draining' })
  expect(listStates()).toEqual(['i-1 leaving'])
})

test('a reused id with a later start is a new process, and heartbeats of the old process are ignored', async () => {
  await sendHeartbeat('i-1', { born: 10, seq: 9, state: 'draining' })
  await sendHeartbeat('i-1', { born: 20, seq: 1 })
  expect(listStates()).toEqual(['i-1 ready'])
  await sendHeartbeat('i-1', { born: 10, seq: 10, state: 'draining' })
  await post('/-/Instances.Deregister/i-1', { born: 10 })
  expect(listStates()).toEqual(['i-1 ready'])
})

test('a target that started later replaces the earlier target, despite later heartbeats of the earlier target', async () => {
  await sendHeartbeat('i-1', { born: 10, seq: 1 })
  await sendHeartbeat('i-2', { born: 20, seq: 1 })
  await sendHeartbeat('i-1', { born: 10, seq: 2 })
  expect(listStates()).toEqual(['i-2 ready'])
})

test('a deregistration without a previous draining heartbeat takes effect immediately', async () => {
  await sendHeartbeat('i-1', { born: 10, seq: 1 })
  expect(await post('/-/Instances.Deregister/i-1', { born: 10 })).toBe(200)
  await sendHeartbeat('i-1', { born: 10, seq: 2 })
  expect(listStates()).toEqual(['i-1 leaving'])
})

/** The node has started again and forgotten its target, or has missed the first heartbeats of a process with a reused id. */
test.each([['that the node does not know', []], ['of an earlier process with the same id', [10]]])(
  'a late heartbeat of a target that has deregistered without its start time does not restore it (a target %s)', async (_case, known) => {
    for (const born of known) await sendHeartbeat('i-1', { born, seq: 30 })
    wallTime = 50
    expect(await post('/-/Instances.Deregister/i-1', '')).toBe(200)
    expect(await sendHeartbeat('i-1', { born: 40, seq: 2 })).toBe(200)
    expect(listStates()).not.toContain('i-1 ready')
    await sendHeartbeat('i-1', { born: 60, seq: 1 })
    expect(listStates()).toEqual(['i-1 ready'])
  })

/** The deregistration of an earlier process may be late itself. */
test('a target whose id was deregistered after its start is registered by heartbeats that come long after that', async () => {
  wallTime = 50
  await post('/-/Instances.Deregister/i-1', '')
  now = 9_000
  await sendHeartbeat('i-1', { born: 40, seq: 2 })
  expect(listStates()).toEqual([])
  now = 11_000
  await sendHeartbeat('i-1', { born: 40, seq: 4 })
  expect(listStates()).toEqual(['i-1 ready'])
})

test.each([
  ['invalid JSON', '{"address'],
  ['no state', { ...makeHeartbeat() as object, status: { seq: 2 } }],
  ['an unknown state', makeHeartbeat({ state: 'resting' })],
  ['slots that are not a number', makeHeartbeat({ slots: 'six' })],
  ['the address of another host', makeHeartbeat({ address: '127.0.0.2:9000' })]
])('a heartbeat with %s registers no target and leaves the other target unchanged', async (_name, body) => {
  await sendHeartbeat('i-1', { born: 10, seq: 1 })
  expect(await post('/-/Instances.Heartbeat/i-2', body)).toBe(400)
  expect(listStates()).toEqual(['i-1 ready'])
})

/** The record of such a target would be rejected by all other nodes, together with every message that contains it. */
test.each([
  ['an id', 'Bad_Id', {}], ['a number of slots', 'i-2', { slots: 20_000 }], ['a start time', 'i-2', { born: -1 }],
  ['a start time that is too large', 'i-2', { born: Number.MAX_SAFE_INTEGER }], ['a port', 'i-2', { address: '127.0.0.1:99000' }]
])('a heartbeat with %s that no record can have names no target', async (_case, target, change) => {
  expect(await sendHeartbeat(target, change)).toBe(400)
  expect(listStates()).toEqual([])
})

/** Heartbeats of each later process with the same id would count as those of an earlier one. */
test('a deregistration with a start time that is too large does not hide the next process with the same id', async () => {
  await sendHeartbeat('i-1', { born: 10, seq: 1 })
  expect(await post('/-/Instances.Deregister/i-1', { born: Number.MAX_SAFE_INTEGER })).toBe(200)
  expect(listStates()).toEqual(['i-1 leaving'])
  await sendHeartbeat('i-1', { born: 20, seq: 1 })
  expect(listStates()).toEqual(['i-1 ready'])
})

test('a heartbeat without end is rejected and its connection closed', async () => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let response = ''
  socket.on('data', data => { response += String(data) })
  socket.on('error', () => {})
  socket.write('POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n')
  const timer = setInterval(() => { if (!socket.destroyed) socket.write(`1000\r\n${'a'.repeat(4_096)}\r\n`) }, 1)
  await once(socket, 'close')
  clearInterval(timer)
  expect(response).toContain('HTTP/1.1 413')
  expect(listStates()).toEqual([])
})

/** The next process of the node would take a late heartbeat of a target that has left for one of a new target. */
test('a call of a leaving target that no other process has a copy of is not acknowledged, and takes effect', async () => {
  await sendHeartbeat('i-1', { born: 10, seq: 1 })
  hasCopy = false
  expect(await sendHeartbeat('i-1', { born: 10, seq: 2 })).toBe(200)
  expect(await sendHeartbeat('i-1', { born: 10, seq: 3, state: 'draining' })).toBe(503)
  expect(listStates()).toEqual(['i-1 leaving'])
  expect(await post('/-/Instances.Deregister/i-1', { born: 10 })).toBe(503)
})

/** The record of the host would be rejected by all other nodes, together with every message that contains it. */
test('a deregistration of an id that no record can have is rejected', async () => {
  expect(await post('/-/Instances.Deregister/Bad_Id', { born: 10 })).toBe(400)
  expect(localHost.makeRecord().processes).toEqual([])
})

describe('a process that takes over the record of the one before it', () => {
  /** Returns a record of a host whose target has left. */
  async function makeEarlierRecord (): Promise<HostRecord> {
    await sendHeartbeat('i-1', { born: 10, seq: 5 })
    await post('/-/Instances.Deregister/i-1', { born: 10 })
    return localHost.makeRecord()
  }

  function startAgain (): void {
    localHost = new LocalHost({ host: 'h', zone: 'a', region: 'r', inbound: '', peer: '', admin: '', incarnation: 2 })
    processes = new TargetProcesses(localHost)
  }

  test('takes no late heartbeat of a target that has left', async () => {
    const { processes: earlier } = await makeEarlierRecord()
    startAgain()
    processes.adopt(earlier, now)
    await sendHeartbeat('i-1', { born: 10, seq: 4 })
    expect(listStates()).not.toContain('i-1 ready')
    await sendHeartbeat('i-1', { born: 20, seq: 1 })
    expect(listStates()).toEqual(['i-1 ready'])
  })

  test('marks a target as leaving whose late heartbeat came first', async () => {
    const { processes: earlier } = await makeEarlierRecord()
    startAgain()
    await sendHeartbeat('i-1', { born: 10, seq: 4 })
    expect(processes.adopt(earlier, now)?.targets).toMatchObject([{ target: 'i-1', state: 'leaving' }])
    expect(listStates()).toEqual(['i-1 leaving'])
  })

  test('keeps a target that started later', async () => {
    const { processes: earlier } = await makeEarlierRecord()
    startAgain()
    await sendHeartbeat('i-1', { born: 20, seq: 1 })
    expect(processes.adopt(earlier, now)).toBeUndefined()
    expect(listStates()).toEqual(['i-1 ready'])
  })

  test('hands on what it has taken over', async () => {
    const { processes: earlier } = await makeEarlierRecord()
    startAgain()
    processes.adopt(earlier, now)
    expect(localHost.makeRecord().processes).toEqual(earlier)
  })

  test('hands on a bounded number of processes, the last ones', async () => {
    for (let number = 0; number < 40; number += 1) await post(`/-/Instances.Deregister/i-${number}`, { born: 10 })
    const { processes: known } = localHost.makeRecord()
    expect([known.length, known.at(-1)?.target]).toEqual([8, 'i-39'])
  })
})
