/**
 * A stand-in for the platform's object store, in memory: objects by kind and name, conditional
 * writes, lists in pages and watches, with switches for outages, lost answers and history that is gone.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'

interface Meta { name: string, rev: number, createdAt: number, finalizers: string[], markedForDeletion: boolean }
interface StoredObject { meta: Meta, spec: unknown, status: unknown }
interface Event { rev: number, kind: string, object: StoredObject, deleted: boolean }
interface Answer { status: number, body?: unknown }

export interface ObjectsSwitches {
  /** Each call is answered with this status. */
  refuseWith: number | undefined
  /** Writes are carried out and their connection is closed without an answer. */
  loseAnswers: boolean
  /** Calls are taken and never answered. */
  isSilent: boolean
  pageSize: number
}

export class ObjectsServer {
  switches: ObjectsSwitches = { refuseWith: undefined, loseAnswers: false, isSilent: false, pageSize: 500 }
  readonly calls: string[] = []
  private readonly kinds = new Map<string, Map<string, StoredObject>>()
  private events: Event[] = []
  private rev = 1
  /** Watches from before it are answered with 410. */
  private oldestRev = 0
  private readonly waiting = new Set<() => void>()
  private readonly server: Server

  constructor () {
    this.server = createServer((message, response) => { this.handle(message, response).catch(() => { response.destroy() }) })
  }

  /** Gives the address as `ip:port`. */
  async listen (): Promise<string> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  async close (): Promise<void> {
    this.server.close()
    this.server.closeAllConnections()
    await once(this.server, 'close')
  }

  /** What an operator writes, past the API. */
  writeObject (kind: string, name: string, spec: unknown): number {
    const held = this.getKind(kind).get(name)
    return this.setObject(kind, { meta: { ...makeMeta(name), ...held?.meta }, spec, status: null }).meta.rev
  }

  find (kind: string, name: string): StoredObject | undefined {
    return this.getKind(kind).get(name)
  }

  forgetHistory (): void {
    this.events = []
    this.oldestRev = this.rev
    this.wakeWatches()
  }

  private async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://store')
    const body = await text(message)
    this.calls.push(`${message.method ?? ''} ${url.pathname}${url.search}`)
    if (this.switches.isSilent) return
    if (this.switches.refuseWith !== undefined) return writeAnswer(response, { status: this.switches.refuseWith })
    const [, , , kind = '', name] = url.pathname.split('/').map(decodeURIComponent)
    const answer = message.method === 'GET'
      ? await this.read(kind, name, url.searchParams)
      : this.write(message.method ?? '', kind, name, url.searchParams, body === '' ? {} : JSON.parse(body) as Partial<StoredObject>)
    if (this.switches.loseAnswers && message.method !== 'GET') response.destroy()
    else writeAnswer(response, answer)
  }

  private async read (kind: string, name: string | undefined, query: URLSearchParams): Promise<Answer> {
    const watch = query.get('watch')
    if (watch !== null) return await this.watch(kind, Number(watch), Number(query.get('waitMs') ?? 0))
    if (name !== undefined) {
      const object = this.getKind(kind).get(name)
      return object === undefined ? { status: 404 } : { status: 200, body: object }
    }
    const after = query.get('after') ?? ''
    const present = [...this.getKind(kind).values()].filter(({ meta }) => meta.name > after)
    const all = present.sort((left, right) => left.meta.name < right.meta.name ? -1 : 1)
    const items = all.slice(0, this.switches.pageSize)
    return { status: 200, body: { items, hasMore: items.length < all.length, currentRev: this.rev } }
  }

  private async watch (kind: string, from: number, waitMs: number): Promise<Answer> {
    const endsAt = Date.now() + waitMs
    while (true) {
      if (from < this.oldestRev) return { status: 410 }
      const events = this.events.filter(event => event.kind === kind && event.rev > from).map(({ object, deleted }) => ({ object, deleted }))
      const leftMs = endsAt - Date.now()
      if (events.length > 0 || leftMs <= 0) return { status: 200, body: { events, currentRev: this.rev } }
      await new Promise<void>(resolve => {
        const timer = setTimeout(wake, leftMs)
        const { waiting } = this
        function wake (): void {
          clearTimeout(timer)
          waiting.delete(wake)
          resolve()
        }
        waiting.add(wake)
      })
    }
  }

  private write (method: string, kind: string, named: string | undefined, query: URLSearchParams, body: Partial<StoredObject>): Answer {
    const name = named ?? body.meta?.name ?? ''
    const held = this.getKind(kind).get(name)
    const expected = body.meta?.rev ?? (query.has('rev') ? Number(query.get('rev')) : undefined)
    if (method === 'POST') return held === undefined ? this.create(kind, name, body.spec) : { status: 409, body: held }
    if (held === undefined) return { status: 404 }
    if (expected !== undefined && expected !== held.meta.rev) return { status: 409, body: held }
    if (method === 'DELETE') return this.remove(kind, held)
    return { status: 200, body: this.setObject(kind, { ...held, spec: body.spec }) }
  }

  private create (kind: string, name: string, spec: unknown): Answer {
    return { status: 200, body: this.setObject(kind, { meta: makeMeta(name), spec, status: null }) }
  }

  private setObject (kind: string, object: StoredObject): StoredObject {
    this.rev += 1
    const stored = { ...object, meta: { ...object.meta, rev: this.rev } }
    this.getKind(kind).set(stored.meta.name, stored)
    this.events.push({ rev: this.rev, kind, object: stored, deleted: false })
    this.wakeWatches()
    return stored
  }

  private remove (kind: string, object: StoredObject): Answer {
    this.rev += 1
    this.getKind(kind).delete(object.meta.name)
    this.events.push({ rev: this.rev, kind, object, deleted: true })
    this.wakeWatches()
    return { status: 200 }
  }

  private getKind (kind: string): Map<string, StoredObject> {
    const held = this.kinds.get(kind) ?? new Map<string, StoredObject>()
    this.kinds.set(kind, held)
    return held
  }

  private wakeWatches (): void {
    for (const wake of [...this.waiting]) wake()
  }
}

function makeMeta (name: string): Meta {
  return { name, rev: 0, createdAt: Date.now(), finalizers: [], markedForDeletion: false }
}

function writeAnswer (response: ServerResponse, { status, body }: Answer): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(body === undefined ? undefined : JSON.stringify(body))
}
