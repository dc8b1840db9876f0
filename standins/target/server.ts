/**
 * A target that responds to each request with a description of that request after a service time, and announces
 * itself to the node of its host. `/photos/echo` streams the request body back as it arrives. The target counts the
 * runs of each idempotency key, so that tests can detect requests that ran twice.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { pipeline } from 'node:stream/promises'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import type { Announcement } from '../../src/membership/index.js'
import { callNextTarget, WorkerPool } from './work.js'
import type { NextTarget } from './work.js'

const ANNOUNCE_INTERVAL_MS = 1_000

export interface TargetOptions {
  service: string
  target: string
  /** `ip:port` to listen on. */
  address: string
  /** `ip:port` of the local port of the host's node. */
  node: string
  serviceMs: number
  slots?: number
  next?: NextTarget
  /** Maximum number of concurrent requests to /work. */
  workers?: number
}

export class TargetServer {
  readonly runs = new Map<string, number>()
  private readonly server: Server
  private readonly stopped = new AbortController()
  private readonly workers: WorkerPool
  state: Announcement['state'] = 'ready'

  constructor (private readonly options: TargetOptions) {
    this.workers = new WorkerPool(options.workers ?? Infinity)
    this.server = createServer((message, response) => {
      this.handle(message, response).catch(() => { response.destroy() })
    })
  }

  async start (): Promise<void> {
    const [host, port] = this.options.address.split(':')
    this.server.listen(Number(port), host)
    await once(this.server, 'listening')
    void this.announcePeriodically()
  }

  async stop (): Promise<void> {
    this.stopped.abort()
    this.server.closeAllConnections()
    this.server.close()
    await once(this.server, 'close')
  }

  private async announcePeriodically (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await this.announce().catch(() => {})
      await delay(ANNOUNCE_INTERVAL_MS, undefined, { signal: this.stopped.signal }).catch(() => {})
    }
  }

  private async announce (): Promise<void> {
    const { service, target, address, node, slots } = this.options
    const response = await request(`http://${node}/announce`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ service, target, address, slots: slots ?? 6, connections: 130, state: this.state })
    })
    await response.body.dump()
  }

  private async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (message.url === '/runs') {
      response.end(JSON.stringify(Object.fromEntries(this.runs)))
      return
    }
    if (message.url?.startsWith('/photos/echo') === true) {
      response.writeHead(200, { 'x-target': this.options.target })
      response.flushHeaders()
      await pipeline(message, response)
      return
    }
    if (message.url?.startsWith('/chain/') === true && this.options.next !== undefined) {
      response.statusCode = await callNextTarget(this.options.next, message.url)
      response.end('done')
      return
    }
    const receivedAt = Date.now()
    if (message.url === '/work') await this.workers.run(this.options.serviceMs, () => response.destroyed)
    const body = await buffer(message)
    const key = message.headers['idempotency-key']
    if (typeof key === 'string') this.runs.set(key, (this.runs.get(key) ?? 0) + 1)
    if (this.options.serviceMs > 0 && message.url !== '/work') await delay(this.options.serviceMs)
    const responseBody = JSON.stringify({
      target: this.options.target,
      method: message.method,
      path: message.url,
      echo: message.headers['x-echo'],
      bytes: body.length,
      receivedAt
    })
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(responseBody) })
    response.end(responseBody)
  }
}
