/**
 * A target of the soak. It runs in the process of the soak, announces itself to its node, and can misbehave in its responses.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { request as sendRequest } from 'undici'
import type { Random } from '../../src/core/index.js'
import type { SoakRecord } from './record.js'
import { CorrectResponse } from './responses.js'
import type { ResponseBehaviour } from './responses.js'

export interface SoakTargetOptions {
  /** Where the target listens, and the address of the proxy in front of it, which is announced. */
  address: string
  announcedAddress: string
  /** Address of the node for heartbeats. */
  control: string
  /** Address of the node for calls of the target. */
  caller: string
  /** The service that each run of a target of another service calls. */
  callee: string
  /** Index of the host. */
  host: number
  record: SoakRecord
  random: Random
}

const HEARTBEAT_INTERVAL_MS = 1_000
const CALL_TIMEOUT_MS = 1_000
/** Deadline of a call to another service. */
const CALL_DEADLINE_MS = 400
const SLOTS = 6
const SERVICE_MS = 30
/** Share of the requests that a response fault affects. */
const FAULT_SHARE = 0.4
const CORRECT = new CorrectResponse()

/** The body that the request with this id has to get, of a length that differs from id to id. */
export function makeBody (id: string): string {
  const length = [...id].reduce((sum, character) => sum * 31 + character.charCodeAt(0) >>> 0, 7) % 6_000
  return `${id}:${'b'.repeat(length)}`
}

export class SoakTarget {
  private server: Server | undefined
  private service = ''
  private id = ''
  private startedAt = 0
  private sequence = 0
  private state: 'ready' | 'draining' = 'ready'
  private running = 0
  private behaviour: ResponseBehaviour = CORRECT
  private heartbeats: NodeJS.Timeout | undefined

  constructor (private readonly options: SoakTargetOptions) {}

  /** Starts a new process of the target, with a new id and perhaps for another service. */
  async start (service: string): Promise<void> {
    this.service = service
    this.startedAt = Math.max(Date.now(), this.startedAt + 1)
    this.id = `i-${service}-${this.startedAt}-${this.options.random.pickIndex(1_000_000)}`
    this.sequence = 0
    this.state = 'ready'
    const server = createServer((message, response) => { this.handleRequest(message, response) })
    server.on('clientError', (_error, socket) => { socket.destroy() })
    const [host, port] = this.options.address.split(':')
    server.listen(Number(port), host)
    await once(server, 'listening')
    this.server = server
    void this.sendHeartbeat()
    this.heartbeats = setInterval(() => { void this.sendHeartbeat() }, HEARTBEAT_INTERVAL_MS)
  }

  /** Ends the process without notice, as in a crash. */
  stop (): void {
    clearInterval(this.heartbeats)
    this.server?.closeAllConnections()
    this.server?.close()
    this.server = undefined
    this.running = 0
  }

  /** Sets how a share of the requests is responded to. Without an argument, all responses are correct again. */
  setBehaviour (behaviour: ResponseBehaviour = CORRECT): void {
    this.behaviour = behaviour
  }

  /** Resolves when the node has acknowledged that this target is leaving, or did not in time. */
  async announceLeaving (): Promise<void> {
    this.state = 'draining'
    await this.sendHeartbeat()
  }

  /** Ends the process after it has left. */
  async end (): Promise<void> {
    await this.call(`/-/Instances.Deregister/${this.id}`, { born: this.startedAt })
    this.stop()
  }

  private async sendHeartbeat (): Promise<void> {
    const { announcedAddress } = this.options
    const { id, state, service } = this
    this.sequence += 1
    const info = { service, version: 'v1', zone: 'a', slots: SLOTS }
    const status = { state, seq: this.sequence, coldLeft: '0ms' }
    const isAcknowledged = await this.call(`/-/Instances.Heartbeat/${id}`, { address: announcedAddress, born: this.startedAt, info, status })
    if (isAcknowledged && state === 'draining') this.options.record.recordLeft(id)
  }

  private async call (path: string, body: unknown): Promise<boolean> {
    try {
      const response = await sendRequest(`http://${this.options.control}${path}`, {
        method: 'POST', body: JSON.stringify(body), signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }

  private handleRequest (message: IncomingMessage, response: ServerResponse): void {
    message.resume()
    message.on('error', () => {})
    response.on('error', () => {})
    const id = String(message.headers['x-attempt-id'])
    if (message.headers['x-target-instance'] !== this.id) {
      response.writeHead(421, { 'x-attempt-id': id }).end()
      return
    }
    const { socket } = message
    const { random, record } = this.options
    const isRepeat = record.recordArrival(id)
    const behaviour = random.next() < FAULT_SHARE ? this.behaviour : CORRECT
    if (this.running >= SLOTS || !behaviour.admit(socket, id, random)) {
      response.writeHead(503, { 'x-not-executed': '1', 'x-attempt-id': id, 'content-length': 0 }).end()
      return
    }
    record.recordRun(this.id, id)
    if (message.method === 'GET') void this.callOther(isRepeat)
    this.running += 1
    response.once('close', () => { this.running = Math.max(0, this.running - 1) })
    behaviour.begin(socket)
    setTimeout(() => { this.respond(socket, response, id, behaviour) }, SERVICE_MS * (0.5 + random.next()))
  }

  /** Makes a call of its own through the node, as a target does that needs another service. */
  private async callOther (isRepeat: boolean): Promise<void> {
    const { caller, callee, host, record } = this.options
    if (callee === this.service) return
    const call = record.beginRequest(callee, 'idempotent', host, isRepeat)
    try {
      const response = await sendRequest(`http://${caller}/${callee}/idempotent/${call.id}`, {
        headers: { host: 'soak.example', 'x-attempt-id': call.id, 'x-timeout-ms': String(CALL_DEADLINE_MS) },
        signal: AbortSignal.timeout(CALL_DEADLINE_MS)
      })
      await response.body.dump()
      call.status = response.statusCode
    } catch (error) {
      call.isCut = (error as { name?: unknown }).name !== 'TimeoutError'
    }
  }

  private respond (socket: Socket, response: ServerResponse, id: string, behaviour: ResponseBehaviour): void {
    if (socket.destroyed) return
    const body = makeBody(id)
    const headers = { 'x-attempt-id': id, 'x-response-signature': this.id, 'content-length': Buffer.byteLength(body) }
    behaviour.respond({ socket, response, headers, body, random: this.options.random })
  }
}
