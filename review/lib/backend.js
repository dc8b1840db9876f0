/**
 * A stand-in for a backend, which runs beside a node, sends heartbeats to it and runs requests.
 */
import { createServer, request as sendRequest } from 'node:http'
import { BOUNDS, PORTS } from './settings.js'

const ACK_TIMEOUT_MS = 1_000

export class Backend {
  /** `onRun` is called with each request that this backend begins to run, and may return true to take it over. */
  constructor ({ machine, service, slots = 6, workMs = 20, onRun }) {
    Object.assign(this, { machine, service, slots, workMs, onRun })
    this.server = undefined
    this.sockets = new Set()
    this.starts = 0
  }

  /** Starts a new process, with a new id unless one is given. */
  async start (id) {
    this.starts += 1
    this.id = id ?? `i-${this.machine.name}-${this.starts}`
    this.born = Date.now()
    this.sequence = 0
    this.running = 0
    this.state = 'ready'
    const server = this.makeServer()
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
    })
    await new Promise(resolve => { server.listen(PORTS.app, this.machine.ip, resolve) })
    this.server = server
    this.beat()
    this.timer = setInterval(() => { this.beat() }, BOUNDS.heartbeat)
  }

  makeServer () {
    const server = createServer((message, response) => { this.handle(message, response) })
    server.keepAliveTimeout = 10_000
    return server
  }

  /** Ends the process at once: its connections are reset, and new ones are refused. */
  async end () {
    clearInterval(this.timer)
    const { server } = this
    if (server === undefined) return
    this.server = undefined
    const closed = new Promise(resolve => { server.close(resolve) })
    for (const socket of this.sockets) socket.resetAndDestroy()
    await closed
  }

  stopHeartbeats () {
    clearInterval(this.timer)
  }

  /** Returns the next heartbeat without sending it. */
  makeBeat () {
    this.sequence += 1
    const info = { service: this.service, version: 'v1', zone: this.machine.zone, slots: this.slots }
    const status = { state: this.state, seq: this.sequence, coldLeft: '0ms' }
    return { path: `/-/Instances.Heartbeat/${this.id}`, body: { address: `${this.machine.ip}:${PORTS.app}`, born: this.born, info, status } }
  }

  async beat () {
    return await this.post(this.makeBeat())
  }

  /** Resolves to the time of the acknowledgement, or to undefined. */
  async deregister () {
    return await this.post({ path: `/-/Instances.Deregister/${this.id}`, body: { born: this.born } })
  }

  async post ({ path, body }) {
    const text = JSON.stringify(body)
    return await new Promise(resolve => {
      const call = sendRequest({
        host: this.machine.ip,
        port: PORTS.control,
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) },
        timeout: ACK_TIMEOUT_MS,
        agent: false
      }, response => {
        response.resume()
        response.on('end', () => { resolve(response.statusCode === 200 ? Date.now() : undefined) })
        response.on('error', () => { resolve(undefined) })
      })
      call.on('timeout', () => { call.destroy() })
      call.on('error', () => { resolve(undefined) })
      call.end(text)
    })
  }

  handle (message, response) {
    response.on('error', () => {})
    const chunks = []
    message.on('error', () => {})
    message.on('data', chunk => { chunks.push(chunk) })
    message.on('end', () => { this.run(message, response, Buffer.concat(chunks)) })
  }

  run (message, response, body) {
    const attempt = message.headers['x-attempt-id']
    const expected = message.headers['x-target-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-attempt-id': attempt, 'x-instance-id': this.id, 'content-length': 0 }).end()
      return
    }
    if (this.running >= this.slots) {
      response.writeHead(503, { 'x-attempt-id': attempt, 'x-not-executed': '1', 'content-length': 0 }).end()
      return
    }
    this.machine.recorder?.write(`run ${attempt} on ${this.id} of ${this.service}`)
    const isTaken = this.onRun?.({ backend: this, attempt, message, body, response }) === true
    if (isTaken) return
    this.running += 1
    setTimeout(() => {
      this.running -= 1
      const answer = `answer to ${attempt}`
      response.writeHead(200, {
        'x-attempt-id': attempt,
        'x-response-signature': `${this.id}.${attempt}`,
        'x-server-load': `${this.running},0,${this.slots}`,
        'content-length': Buffer.byteLength(answer)
      })
      response.end(answer)
    }, this.workMs)
  }
}
