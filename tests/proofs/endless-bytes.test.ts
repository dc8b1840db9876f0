/**
 * Guards against a node that keeps bytes which come without end, runs out of memory, and takes the requests of all its callers with it:
 * bodies of responses whose callers do not read, uploads beside them, calls to the control port, and responses of the store. The node is
 * a process, whose peak memory is read from the operating system.
 */
import type { ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, expect, test } from '@jest/globals'
import { request } from 'undici'
import { makeNodeAddresses, spawnPlatformNode } from '../../standins/layout/platformnode.js'
import type { NodeAddresses } from '../../standins/layout/platformnode.js'
import { findBlock } from '../../standins/layout/processes.js'
import { ObjectsServer } from '../../standins/objects/server.js'
import { makeHeartbeat, makePlatformConfiguration } from '../fixtures/platform.js'
import { openRawConnection } from '../fixtures/raw.js'
import { awaitTrue } from '../fixtures/restarts.js'

/** What a node may use by the design page. */
const MAX_MEMORY_KB = 256 * 1024
const DURATION_MS = 6_000
const TIMEOUT_MS = 60_000
const CALLERS = 200
const TARGET_ID = 'i-1'
const SERVED_PATH = '/read/served'
const CHUNK_BYTES = 64 * 1024
const CHUNK = Buffer.from(`${CHUNK_BYTES.toString(16)}\r\n${'a'.repeat(CHUNK_BYTES)}\r\n`)

const servers: Server[] = []
const sockets = new Set<Socket>()
let store: ObjectsServer
let child: ChildProcess
let addresses: NodeAddresses

afterEach(async () => {
  child.kill('SIGKILL')
  for (const socket of sockets) socket.destroy()
  sockets.clear()
  for (const server of servers.splice(0)) server.close()
  await store.close()
})

function track (socket: Socket): Socket {
  sockets.add(socket)
  socket.on('error', () => {})
  socket.once('close', () => { sockets.delete(socket) })
  return socket
}

/** Writes until the connection is closed, as fast as the other side reads. */
function writeEndlessly (socket: Socket, bytes: Buffer): void {
  if (socket.destroyed) return
  socket.write(bytes, error => { if (error === undefined || error === null) setImmediate(writeEndlessly, socket, bytes) })
}

function listen (address: string, serve: (socket: Socket, head: string) => void): void {
  const [host, port] = address.split(':')
  const server = createServer(socket => {
    track(socket)
    let head = ''
    socket.on('data', data => {
      if (!head.includes('\r\n\r\n')) head += String(data)
      if (!head.includes('\r\n\r\n')) return
      serve(socket, head)
      head = ''
    })
  })
  servers.push(server)
  server.listen(Number(port), host)
}

/** Responds to requests for SERVED_PATH, and to all others with a body without end. */
function serveTarget (socket: Socket, head: string): void {
  const id = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? ''
  if (!/^[A-Z]+ \//.test(head)) return
  const start = `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-signature: s\r\n`
  if (head.includes(SERVED_PATH)) socket.write(`${start}content-length: 5\r\n\r\nwhole`)
  else socket.write(`${start}transfer-encoding: chunked\r\n\r\n`, () => { writeEndlessly(socket, CHUNK) })
}

function startNode (storeAddress: string): void {
  child = spawnPlatformNode({
    host: 'h1', zone: 'a', region: 'r', service: 'desk', store: storeAddress, addresses, program: 'target/node.cjs', heartbeatMs: 60_000, graceMs: 4_000
  })
}

async function startServingNode (): Promise<void> {
  const storeAddress = await store.listen()
  store.writeObject('config', 'main', makePlatformConfiguration(3, [{ timeout: '30s' }, { pathPrefix: '/upload/', kind: 'upload', timeout: '30s' }], ['desk']))
  listen(addresses.target, serveTarget)
  startNode(storeAddress)
  await awaitTrue(async () => {
    const body = JSON.stringify(makeHeartbeat({ address: addresses.target, born: 5 }))
    const response = await request(`http://${addresses.control}/-/Instances.Heartbeat/${TARGET_ID}`, { method: 'POST', body }).catch(() => undefined)
    await response?.body.dump()
    return response?.statusCode === 200 && await isServing()
  })
}

async function isServing (): Promise<boolean> {
  const headers = { host: 'shop.example', 'x-attempt-id': `a-${Math.random()}`, 'x-timeout-ms': '5000' }
  const response = await request(`http://${addresses.caller}${SERVED_PATH}`, { headers }).catch(() => undefined)
  return response?.statusCode === 200 && await response.body.text() === 'whole'
}

/** Sends the head of a request, and then bytes without end if `body` is given. Reads nothing. */
async function sendRaw (address: string, head: string, body?: Buffer): Promise<void> {
  const socket = track(await openRawConnection(address))
  socket.pause()
  socket.write(head, () => { if (body !== undefined) writeEndlessly(socket, body) })
}

function formatHead (method: string, path: string, index: number): string {
  const length = method === 'GET' ? '' : 'transfer-encoding: chunked\r\n'
  return `${method} ${path} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: c-${index}\r\nx-timeout-ms: 20000\r\n${length}\r\n`
}

async function expectBounded (): Promise<void> {
  await delay(DURATION_MS)
  expect([child.exitCode, child.signalCode]).toEqual([null, null])
  const peak = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${child.pid ?? 0}/status`, 'utf8'))?.[1]
  expect(Number(peak)).toBeLessThan(MAX_MEMORY_KB)
}

async function prepare (): Promise<void> {
  store = new ObjectsServer()
  addresses = makeNodeAddresses(await findBlock(), 0)
}

test('callers that do not read a body without end leave the memory bounded', async () => {
  await prepare()
  await startServingNode()
  for (let index = 0; index < CALLERS; index += 1) await sendRaw(addresses.caller, formatHead('GET', '/read/endless', index))
  await expectBounded()
}, TIMEOUT_MS)

test('uploads without end beside bodies without end leave the memory bounded', async () => {
  await prepare()
  await startServingNode()
  for (let index = 0; index < CALLERS; index += 1) {
    await sendRaw(addresses.caller, formatHead('GET', '/read/endless', index))
    await sendRaw(addresses.caller, formatHead('POST', '/upload/endless', CALLERS + index), CHUNK)
  }
  await expectBounded()
}, TIMEOUT_MS)

test.each([
  ['a body', `POST /-/Instances.Heartbeat/${TARGET_ID} HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n`],
  ['a header', `POST /-/Instances.Heartbeat/${TARGET_ID} HTTP/1.1\r\nhost: h\r\nx-long: `]
])('calls to the control port with %s without end leave the memory bounded, and the node serves', async (_name, head) => {
  await prepare()
  await startServingNode()
  for (let index = 0; index < CALLERS; index += 1) await sendRaw(addresses.control, head, CHUNK)
  await expectBounded()
  expect(await isServing()).toBe(true)
}, TIMEOUT_MS)

test.each([
  ['a body with a length', 'HTTP/1.1 200 OK\r\nstore-era: 1\r\ncontent-length: 99999999999\r\n\r\n'],
  ['a body', 'HTTP/1.1 200 OK\r\nstore-era: 1\r\ntransfer-encoding: chunked\r\n\r\n'],
  ['a header', 'HTTP/1.1 200 OK\r\nx-long: '],
  ['a status line', 'HTTP/1.1 200 ']
])('responses of the store with %s without end leave the memory bounded', async (_name, start) => {
  await prepare()
  await store.listen()
  const storeAddress = addresses.target
  listen(storeAddress, socket => { socket.write(start, () => { writeEndlessly(socket, CHUNK) }) })
  startNode(storeAddress)
  await expectBounded()
}, TIMEOUT_MS)
