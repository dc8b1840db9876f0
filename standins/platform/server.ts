/**
 * The HTTP API of the platform stand-in, with switches for injected faults and rate limits. `POST /control` sets the
 * switches; `GET /control` responds with the switches and the counts of calls.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { json } from 'node:stream/consumers'
import { setTimeout as delay } from 'node:timers/promises'
import * as z from 'zod'
import type { Result } from '../../src/core/index.js'
import { objectKindSchema } from '../../src/store/index.js'
import type { ObjectKind, StoreFault } from '../../src/store/index.js'
import { MemoryObjects } from './store.js'
import { CallLimiter, switchesSchema } from './switches.js'
import type { CallKind, Switches } from './switches.js'

const bodySchema = z.object({ expected: z.number().int(), value: z.unknown() })

const STATUS_BY_FAULT: Partial<Record<StoreFault['code'], number>> = { conflict: 409, 'too-large': 413 }

interface ObjectCall { call: CallKind, kind: ObjectKind, name: string, url: URL }

export class PlatformServer {
  readonly objects = new MemoryObjects()
  readonly counts: Record<string, number> = {}
  switches: Switches = switchesSchema.parse({})
  private readonly limiter = new CallLimiter()
  private readonly watches = new Set<ServerResponse>()
  private readonly server: Server

  constructor () {
    this.server = createServer((message, response) => {
      this.handle(message, response).catch(() => { response.destroy() })
    })
  }

  async listen (port: number, host = '127.0.0.1'): Promise<string> {
    this.server.listen(port, host)
    await once(this.server, 'listening')
    const address = this.server.address()
    return `http://${host}:${typeof address === 'object' && address !== null ? address.port : port}`
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    this.server.close()
    await once(this.server, 'close')
  }

  /** `endWatches`, `expireWatches` and `silenceWatches` act once and are then reset. */
  setSwitches (change: Partial<Switches>): void {
    this.switches = { ...this.switches, ...change, endWatches: false, expireWatches: false, silenceWatches: false }
    if (this.switches.down) this.server.closeAllConnections()
    if (change.silenceWatches === true) this.watches.clear()
    if (change.expireWatches === true) this.objects.discardEvents()
    if (change.expireWatches === true || change.endWatches === true) this.watches.forEach(response => { response.end() })
  }

  private async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://platform')
    if (url.pathname === '/control') {
      await this.handleControl(message, response)
      return
    }
    if (this.switches.down) {
      message.socket.destroy()
      return
    }
    const call = parseCall(url, message.method ?? 'GET')
    if (call === undefined) return respond(response, 404, { message: 'no such path' })
    const delayMs = this.switches.slowMs + (this.switches.slowMsByCall[call.call] ?? 0)
    if (delayMs > 0) await delay(delayMs)
    this.counts[`${call.call} ${call.kind}`] = (this.counts[`${call.call} ${call.kind}`] ?? 0) + 1
    if (!this.limiter.admit(call.call, this.switches)) return respond(response, 429, { message: 'rate limit' })
    await this.handleCall(call, message, response)
  }

  private async handleControl (message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (message.method === 'POST') this.setSwitches(switchesSchema.partial().parse(await json(message)))
    respond(response, 200, { switches: this.switches, counts: this.counts })
  }

  private async handleCall ({ call, kind, name, url }: ObjectCall, message: IncomingMessage, response: ServerResponse): Promise<void> {
    switch (call) {
      case 'watch':
        this.handleWatch(kind, Number(url.searchParams.get('from') ?? 0), response)
        break
      case 'list':
        respond(response, 200, this.objects.list(kind, this.switches.lagLists))
        break
      case 'get': {
        const object = this.objects.get(kind, name)
        respond(response, object === undefined ? 404 : 200, object ?? { message: 'no such object' })
        break
      }
      case 'write': {
        const body = bodySchema.safeParse(await json(message))
        if (!body.success) return respond(response, 400, { message: body.error.message })
        await this.handleChange(response, () => this.objects.write({ kind, name, expected: body.data.expected, value: body.data.value }))
        break
      }
      case 'remove': {
        const expected = Number(url.searchParams.get('expected') ?? 0)
        await this.handleChange(response, () => this.objects.remove({ kind, name, expected }))
      }
    }
  }

  private async handleChange (response: ServerResponse, change: () => Result<number | undefined, StoreFault>): Promise<void> {
    if (this.switches.loseRequests > 0) {
      this.switches.loseRequests -= 1
      response.destroy()
      return
    }
    const result = change()
    if (this.switches.lateAnswerMs > 0) await delay(this.switches.lateAnswerMs)
    if (this.switches.loseAnswers > 0) {
      this.switches.loseAnswers -= 1
      response.destroy()
    } else if (result.ok) {
      respond(response, 200, { version: result.val })
    } else {
      respond(response, STATUS_BY_FAULT[result.val.code] ?? 400, result.val)
    }
  }

  private handleWatch (kind: ObjectKind, from: number, response: ServerResponse): void {
    const pastEvents = this.objects.listEvents(kind, from)
    if (pastEvents === undefined) return respond(response, 410, { message: `revision ${from} is too old` })
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    response.flushHeaders()
    for (const event of pastEvents) response.write(`${JSON.stringify(event)}\n`)
    const stopListening = this.objects.listen(event => {
      if (event.object.kind === kind && this.watches.has(response)) response.write(`${JSON.stringify(event)}\n`)
    })
    this.watches.add(response)
    response.on('close', () => {
      this.watches.delete(response)
      stopListening()
    })
  }
}

/** Parses the paths `/v1/objects/KIND`, `/v1/objects/KIND/NAME` and `/v1/watch/KIND`. */
function parseCall (url: URL, method: string): ObjectCall | undefined {
  const [, version, area, kindText, name] = url.pathname.split('/')
  const kind = objectKindSchema.safeParse(kindText)
  if (version !== 'v1' || !kind.success) return undefined
  const common = { kind: kind.data, name: decodeURIComponent(name ?? ''), url }
  if (area === 'watch') return { call: 'watch', ...common }
  if (area !== 'objects') return undefined
  if (method === 'PUT') return { call: 'write', ...common }
  if (method === 'DELETE') return { call: 'remove', ...common }
  return { call: name === undefined ? 'list' : 'get', ...common }
}

function respond (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
