/**
 * The stand-in's HTTP API, with switches for faults and rate limits. `POST /control` sets the
 * switches; `GET /control` gives them with the counts of calls.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { json } from 'node:stream/consumers'
import { setTimeout as delay } from 'node:timers/promises'
import { z } from 'zod'
import { kindSchema } from '../../src/platform/index.js'
import type { Kind } from '../../src/platform/index.js'
import { MemoryObjects } from './store.js'

export const switchesSchema = z.object({
  down: z.boolean().default(false),
  /** Added to each call, in ms. */
  slowMs: z.number().default(0),
  /** Between the effect of a write and its answer, in ms. */
  lateAnswerMs: z.number().default(0),
  /** The next so many writes take effect and their connection is then cut. */
  loseAnswers: z.number().int().default(0),
  writesPerSecond: z.number().default(500),
  readsPerSecond: z.number().default(2000)
})
export type Switches = z.infer<typeof switchesSchema>

const bodySchema = z.object({ expected: z.number().int(), value: z.unknown() })

class Rate {
  private second = 0
  private used = 0

  take (limit: number): boolean {
    const now = Math.floor(Date.now() / 1000)
    if (now !== this.second) {
      this.second = now
      this.used = 0
    }
    this.used += 1
    return this.used <= limit
  }
}

export class PlatformServer {
  readonly objects = new MemoryObjects()
  readonly counts: Record<string, number> = {}
  switches: Switches = switchesSchema.parse({})
  private readonly writes = new Rate()
  private readonly reads = new Rate()
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

  setSwitches (change: Partial<Switches>): void {
    this.switches = { ...this.switches, ...change }
    if (this.switches.down) this.server.closeAllConnections()
  }

  private async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://platform')
    const [, first, second, third, name] = url.pathname.split('/')
    if (first === 'control') {
      await this.handleControl(message, response)
      return
    }
    if (this.switches.down) {
      message.socket.destroy()
      return
    }
    if (this.switches.slowMs > 0) await delay(this.switches.slowMs)
    const kind = kindSchema.safeParse(third)
    if (first !== 'v1' || !kind.success) return answer(response, 404, { message: 'no such path' })
    const call = second === 'watch' ? 'watch' : message.method === 'PUT' ? 'write' : message.method === 'DELETE' ? 'remove' : name === undefined ? 'list' : 'get'
    this.counts[`${call} ${kind.data}`] = (this.counts[`${call} ${kind.data}`] ?? 0) + 1
    const allowed = call === 'write' || call === 'remove' ? this.writes.take(this.switches.writesPerSecond) : this.reads.take(this.switches.readsPerSecond)
    if (!allowed) return answer(response, 429, { message: 'rate limit' })
    if (call === 'watch') return this.handleWatch(kind.data, Number(url.searchParams.get('from') ?? 0), response)
    if (call === 'write') return await this.handleWrite(kind.data, decodeURIComponent(name ?? ''), message, response)
    if (call === 'remove') return this.handleRemove(kind.data, decodeURIComponent(name ?? ''), Number(url.searchParams.get('expected') ?? 0), message, response)
    if (call === 'list') return answer(response, 200, this.objects.list(kind.data))
    const object = this.objects.get(kind.data, decodeURIComponent(name ?? ''))
    answer(response, object === undefined ? 404 : 200, object ?? { message: 'no such object' })
  }

  private async handleControl (message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (message.method === 'POST') this.setSwitches(switchesSchema.partial().parse(await json(message)))
    answer(response, 200, { switches: this.switches, counts: this.counts })
  }

  private async handleWrite (kind: Kind, name: string, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = bodySchema.safeParse(await json(message))
    if (!body.success) return answer(response, 400, { message: body.error.message })
    const written = this.objects.write({ kind, name, expected: body.data.expected, value: body.data.value })
    if (this.switches.lateAnswerMs > 0) await delay(this.switches.lateAnswerMs)
    if (this.dropAnswer(message)) return
    if (written.ok) answer(response, 200, { version: written.val })
    else answer(response, 409, written.val)
  }

  private handleRemove (kind: Kind, name: string, expected: number, message: IncomingMessage, response: ServerResponse): void {
    const removed = this.objects.remove({ kind, name, expected })
    if (this.dropAnswer(message)) return
    if (removed.ok) answer(response, 200, {})
    else answer(response, 409, removed.val)
  }

  private dropAnswer (message: IncomingMessage): boolean {
    if (this.switches.loseAnswers === 0) return false
    this.switches.loseAnswers -= 1
    message.socket.destroy()
    return true
  }

  private handleWatch (kind: Kind, from: number, response: ServerResponse): void {
    const past = this.objects.listEvents(kind, from)
    if (past === undefined) return answer(response, 410, { message: `revision ${from} is too old` })
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    response.flushHeaders()
    for (const event of past) response.write(`${JSON.stringify(event)}\n`)
    const stop = this.objects.listen(event => {
      if (event.object.kind === kind) response.write(`${JSON.stringify(event)}\n`)
    })
    response.on('close', stop)
  }
}

function answer (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
