/**
 * A small deployment on loopback addresses: the store, machines with a node and a backend each, and clients.
 */
import { appendFileSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { Backend } from './backend.js'
import { findBlock, makeFields, NodeProcess, PORTS } from './settings.js'
import { Store } from './store.js'

const READY_TIMEOUT_MS = 15_000
const MAX_RUN_MS = 110_000
/** A process is started again a short time after it has ended. */
const RESTART_DELAY_MS = 500

/** Writes what was sent, answered and run to a file, one line each, with the seconds since the start. */
export class Recorder {
  constructor (file) {
    this.file = file
    this.startedAt = Date.now()
    this.lines = []
    writeFileSync(file, '')
  }

  get elapsedMs () {
    return Date.now() - this.startedAt
  }

  write (text) {
    this.lines.push(`${(this.elapsedMs / 1_000).toFixed(3)} ${text}`)
    if (this.lines.length >= 200) this.flush()
  }

  flush () {
    if (this.lines.length > 0) appendFileSync(this.file, `${this.lines.join('\n')}\n`)
    this.lines = []
  }
}

/** One machine with its node process and its backend. */
export class Machine {
  constructor ({ name, zone, region, service, ip, store, backend: { type: BackendType = Backend, ...backend } = {} }) {
    Object.assign(this, { name, zone, region, service, ip })
    this.node = new NodeProcess(makeFields({ name, zone, region, service, ip, store }))
    this.backend = new BackendType({ machine: this, service, ...backend })
    /** When the last disturbance of this machine ended, in milliseconds since 1970. */
    this.disturbedAt = 0
  }

  async isReady () {
    const { status } = await fetchStatus({ host: this.ip, port: PORTS.ready, path: '/-/readyz', timeoutMs: 500 })
    return status === 200
  }

  async awaitReady () {
    const endsAt = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < endsAt) {
      if (await this.isReady()) return
      await delay(50)
    }
    throw new Error(`${this.name} did not become ready`)
  }

  /** Ends the node process and starts it again while the backend goes on. */
  async restartNode (signal, downMs) {
    this.disturbedAt = Infinity
    await this.node.end(signal)
    await delay(downMs)
    this.node.start()
    this.disturbedAt = Date.now()
  }

  /** The node does not respond for some time, as on a machine without power, and starts anew. */
  async losePower (darkMs) {
    this.disturbedAt = Infinity
    this.node.pause()
    await delay(darkMs)
    await this.node.end('SIGKILL')
    await delay(RESTART_DELAY_MS)
    this.node.start()
    this.disturbedAt = Date.now()
  }
}

export async function startMesh ({ machines, configuration, storeOptions, recorder }) {
  const block = await findBlock(machines.length)
  const store = new Store(storeOptions)
  const storeHost = `${block}.${machines.length + 1}`
  await store.listen(storeHost, PORTS.store)
  store.put('config', 'main', configuration)
  const started = machines.map((options, index) => new Machine({ ...options, ip: `${block}.${index + 1}`, store: `${storeHost}:${PORTS.store}` }))
  for (const machine of started) machine.recorder = recorder
  const mesh = { store, machines: started, stop: async () => { await stopMesh(store, started) } }
  try {
    for (const machine of started) {
      machine.node.start()
      await machine.backend.start()
    }
    await Promise.all(started.map(async machine => { await machine.awaitReady() }))
    // Traffic starts ten seconds after the machines do.
    await delay(4_000)
  } catch (error) {
    await mesh.stop()
    throw error
  }
  return mesh
}

async function stopMesh (store, machines) {
  await Promise.all(machines.map(async ({ node, backend }) => {
    await node.end('SIGKILL')
    node.removeFolder()
    await backend.end()
  }))
  store.close()
}

/** Columns and rows as the operator writes them, with the limits of the example that `fleetbench wire` prints. */
export function makeConfiguration ({ version, routes, services }) {
  const routeColumns = ['name', 'host', 'pathPrefix', 'kind', 'timeout', 'targetLatency', 'priority', 'maxAttempts', 'service']
  const defaults = { timeout: '2s', targetLatency: '600ms', priority: 1, maxAttempts: 3 }
  return {
    version,
    routes: { columns: routeColumns, rows: routes.map(route => routeColumns.map(column => ({ ...defaults, ...route })[column] ?? null)) },
    services: { columns: ['name', 'healthPath', 'maxConns'], rows: services.map(name => [name, '/healthz', 130]) },
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: '3000ms', idleTimeout: '15000ms' }
  }
}

/** Sends attempts at an interval until it is stopped. `send` is called with the number of each. */
export class Traffic {
  constructor (intervalMs, send) {
    this.sent = []
    this.number = 0
    this.timer = setInterval(() => {
      this.sent.push(send(this.number))
      this.number += 1
    }, intervalMs)
  }

  /** Resolves when all attempts have ended. */
  async stop () {
    clearInterval(this.timer)
    await Promise.all(this.sent)
  }
}

let attempts = 0

export function makeAttemptId () {
  attempts += 1
  return `a${Date.now().toString(16)}${attempts.toString(16).padStart(5, '0')}`
}

/** Sends one request on a new connection. `status` is 0 if the connection ended without a whole response. */
export async function fetchStatus ({ host, port, method = 'GET', path, headers = {}, body, timeoutMs }) {
  return await new Promise(resolve => {
    const call = sendRequest({ host, port, method, path, headers, agent: false }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('end', () => { finish({ status: response.complete ? response.statusCode : 0, headers: response.headers, body: Buffer.concat(chunks) }) })
      response.on('error', error => { finish({ status: 0, headers: {}, error }) })
    })
    const timer = setTimeout(() => {
      finish({ status: 0, headers: {}, error: new Error('the client left') })
      call.destroy()
    }, timeoutMs)
    function finish (result) {
      clearTimeout(timer)
      resolve(result)
    }
    call.on('error', error => { finish({ status: 0, headers: {}, error }) })
    call.end(body)
  })
}

/** Sends one client attempt to the node of a machine, and records it. */
export async function sendAttempt (machine, { method = 'GET', path, hostHeader, body, timeoutMs = 2_000 }) {
  const attempt = makeAttemptId()
  machine.recorder?.write(`sent ${attempt} to ${machine.name}: ${method} ${path}`)
  const headers = { host: hostHeader, 'x-attempt-id': attempt, 'x-timeout-ms': String(timeoutMs) }
  if (body !== undefined) headers['content-length'] = Buffer.byteLength(body)
  const sentAt = Date.now()
  const result = await fetchStatus({ host: machine.ip, port: PORTS.outbound, method, path, headers, body, timeoutMs })
  machine.recorder?.write(`answered ${attempt}: ${result.status}`)
  return { attempt, sentAt, ...result }
}

/**
 * Runs a case, which resolves to the text of a broken rule, or to undefined. Ends with 1 if the rule was broken, with 0 if it held, and
 * with 2 if the case could not run.
 */
export async function runCase (folder, run) {
  const recorder = new Recorder(`${folder}/record.txt`)
  const isTroubled = process.env.TROUBLE !== '0'
  const watchdog = setTimeout(() => { fail(new Error('the case took too long')) }, MAX_RUN_MS)
  let mesh
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { fail(new Error(`the case got ${signal}`)) })
  async function fail (error) {
    recorder.write(`could not run: ${error.stack}`)
    recorder.flush()
    await mesh?.stop()
    process.exit(2)
  }
  try {
    const broken = await run({
      recorder,
      isTroubled,
      start: async options => {
        mesh = await startMesh({ ...options, recorder })
        recorder.write(`the machines are ready: ${mesh.machines.map(({ name, ip, zone, service }) => `${name} ${ip} ${zone} ${service}`).join(', ')}`)
        return mesh
      }
    })
    const dead = mesh.machines.filter(({ node }) => node.hasEndedByItself).map(({ name }) => name)
    await mesh.stop()
    clearTimeout(watchdog)
    if (dead.length > 0) recorder.write(`processes ended by themselves: ${dead.join(', ')}`)
    recorder.write(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`)
    recorder.flush()
    process.stdout.write(`${broken === undefined ? 'held' : `broken: ${broken}`}\n`)
    process.exit(broken === undefined ? 0 : 1)
  } catch (error) {
    await fail(error)
  }
}
