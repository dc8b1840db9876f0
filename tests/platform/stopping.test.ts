/**
 * Guards against a stopping node that passes a request on late in its grace time and then ends without a response to it, also if the
 * request may not be repeated.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { request } from 'undici'
import { makeNodeAddresses } from '../../standins/layout/platformnode.js'
import type { NodeAddresses } from '../../standins/layout/platformnode.js'
import { findBlock } from '../../standins/layout/processes.js'
import { makeHeartbeat, makePlatformConfiguration, makeStoreFixture } from '../fixtures/platform.js'
import type { StoreFixture } from '../fixtures/platform.js'
import { openRawConnection, readRawResponse } from '../fixtures/raw.js'

const WAIT_TIMEOUT_MS = 20_000
/** After this time a stopping node checks whether a request can end in time. */
const PROPAGATION_MS = 2_500
/** Time for which the target works on each request of the path /slow/. */
const WORK_MS = 2_500

interface NodeProcess { child: ChildProcess, addresses: NodeAddresses, output: string, setGrace: (grace: string) => void }

let store: StoreFixture
let target: Server
let runs: string[]
let nodes: NodeProcess[]

async function waitFor (isTrue: () => boolean | Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + WAIT_TIMEOUT_MS
  while (!await isTrue()) {
    if (performance.now() > endsAt) throw new Error('the condition is not met in time')
    await delay(2)
  }
}

function startNode (host: string, addresses: NodeAddresses, grace: string): NodeProcess {
  const file = join(mkdtempSync(join(tmpdir(), 'node-')), 'node.settings')
  const setGrace = (value: string): void => {
    const fixed = { host, zone: 'a', region: 'r', service: 'desk', heartbeat: '60s', 'retry-ratio': '0.2', 'retry-extra': '64', 'retry-window': '10s' }
    writeFileSync(file, Object.entries({ ...fixed, store: store.address, grace: value, ...addresses }).map(([name, text]) => `${name}=${text}`).join('\n'))
  }
  setGrace(grace)
  const child = spawn(process.execPath, ['target/node.cjs'], { env: { ...process.env, NODE_OPTIONS: '', COMFREYSPOKE_SETTINGS: file } })
  const node: NodeProcess = { child, addresses, output: '', setGrace }
  child.stdout.on('data', chunk => { node.output += String(chunk) })
  child.stderr.on('data', chunk => { node.output += String(chunk) })
  nodes.push(node)
  return node
}

async function isServing ({ addresses }: NodeProcess): Promise<boolean> {
  const response = await request(`http://${addresses.caller}/read/a`, { headers: { host: 'shop.example', 'x-attempt-id': 'probe', 'x-timeout-ms': '900' } }).catch(() => undefined)
  await response?.body.dump()
  return response?.statusCode === 200
}

function formatRequest (id: string, path: string, timeoutMs: number): string {
  return `POST ${path} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: ${id}\r\nx-timeout-ms: ${timeoutMs}\r\ncontent-length: 0\r\n\r\n`
}

/** Starts a node without a target, whose requests go to the target of another node. */
async function startNodes (grace: string): Promise<NodeProcess> {
  const block = await findBlock()
  const other = startNode('h2', makeNodeAddresses(block, 1), '30s')
  const node = startNode('h1', makeNodeAddresses(block, 0), grace)
  const [host, port] = other.addresses.target.split(':')
  target.listen(Number(port), host)
  const body = JSON.stringify(makeHeartbeat({ address: other.addresses.target, born: 5 }))
  await waitFor(async () => {
    const response = await request(`http://${other.addresses.control}/-/Instances.Heartbeat/i-1`, { method: 'POST', body }).catch(() => undefined)
    await response?.body.dump()
    return response?.statusCode === 200
  })
  await waitFor(async () => await isServing(node))
  return node
}

beforeEach(async () => {
  nodes = []
  runs = []
  store = await makeStoreFixture()
  const routes = [{}, { pathPrefix: '/slow/', kind: 'unsafe', timeout: '60s' }]
  store.server.writeObject('config', 'main', makePlatformConfiguration(3, routes))
  target = createServer((message, response) => {
    const id = String(message.headers['x-attempt-id'])
    if (id !== 'probe') runs.push(id)
    setTimeout(() => {
      response.writeHead(200, { 'x-attempt-id': id, 'x-response-signature': 's' })
      response.end('whole')
    }, message.url?.startsWith('/slow/') === true ? WORK_MS : 0)
  })
})

afterEach(async () => {
  for (const { child } of nodes) if (child.exitCode === null) child.kill('SIGKILL')
  target.close()
  target.closeAllConnections()
  await store.close()
})

async function sendOn (socket: Socket, id: string, timeoutMs: number): Promise<{ status: number, text: string }> {
  const response = readRawResponse(socket)
  socket.write(formatRequest(id, '/slow/a', timeoutMs))
  return await response
}

test('a request on a connection that is still open after the drain is not passed on', async () => {
  const node = await startNodes('30s')
  const socket = await openRawConnection(node.addresses.caller)
  // The node waits for the store before it exits.
  store.server.switches.isSilent = true
  node.child.kill('SIGTERM')
  await waitFor(() => node.output.includes('node_stopped'))
  const { status, text } = await sendOn(socket, 'late', 9_000)
  expect(runs).toEqual([])
  if (status !== 0) expect([status, /retry-after: /.test(text), /connection: close/i.test(text)]).toEqual([503, true, true])
}, 60_000)

test('a request late in the grace time that may not end in it is refused as not run, also after the settings give more time', async () => {
  const node = await startNodes('5s')
  const sockets = [await openRawConnection(node.addresses.caller), await openRawConnection(node.addresses.caller)]
  // A request in flight keeps the node from ending before the drain timeout.
  const first = request(`http://${node.addresses.caller}/slow/a`, { method: 'POST', headers: { host: 'shop.example', 'x-attempt-id': 'first' } })
  await waitFor(() => runs.includes('first'))
  node.child.kill('SIGTERM')
  await delay(1_000)
  const second = request(`http://${node.addresses.caller}/slow/a`, { method: 'POST', headers: { host: 'shop.example', 'x-attempt-id': 'second' } })
  node.setGrace('60s')
  node.child.kill('SIGHUP')
  await delay(PROPAGATION_MS - 1_000 + 300)
  const [late, quick] = sockets as [Socket, Socket]
  const { status, text } = await sendOn(late, 'late', 20_000)
  expect([status, /retry-after: /.test(text), /connection: close/i.test(text)]).toEqual([503, true, true])
  quick.destroy()
  for (const sent of [first, second]) expect(await (await sent).body.text()).toBe('whole')
  expect(runs).toEqual(['first', 'second'])
}, 60_000)

test('a request of another node that comes after SIGTERM is refused as not run, while one that came before is finished', async () => {
  await startNodes('30s')
  const [node] = nodes as [NodeProcess]
  const sockets = [await openRawConnection(node.addresses.inbound), await openRawConnection(node.addresses.inbound)]
  const send = async (socket: Socket | undefined, id: string): Promise<{ status: number, text: string }> => {
    if (socket === undefined) throw new Error('no connection')
    const response = readRawResponse(socket)
    const internal = 'x-comfreyspoke-deadline-ms: 9000\r\nx-comfreyspoke-target: i-1\r\nx-comfreyspoke-service: desk\r\n'
    socket.write(formatRequest(id, '/slow/a', 9_000).replace('\r\n\r\n', `\r\n${internal}\r\n`))
    return await response
  }
  const early = send(sockets[0], 'early')
  await waitFor(() => runs.includes('early'))
  node.child.kill('SIGTERM')
  await waitFor(() => node.output.includes('node_stopping'))
  const { status, text } = await send(sockets[1], 'late')
  expect([status, /retry-after: /.test(text), /connection: close/i.test(text), /verdict: not-run/.test(text)]).toEqual([503, true, true, true])
  expect((await early).status).toBe(200)
  expect(runs).toEqual(['early'])
}, 60_000)
