/**
 * An in-memory stand-in for the platform's object store, with objects by kind and name, conditional
 * writes, paged lists and watches, with switches for outages, lost responses and expired history, and with restores from a copy.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { setTimeout as delay } from 'node:timers/promises'

interface Meta { name: string, rev: number, createdAt: number, finalizers: string[], markedForDeletion: boolean }
interface StoredObject { meta: Meta, spec: unknown, status: unknown }
interface ChangeEvent { rev: number, kind: string, object: StoredObject, deleted: boolean }
type ObjectsByKind = Map<string, Map<string, StoredObject>>
interface ApiResponse { status: number, body?: unknown }

/** The state of the store at a time. */
export interface StoreCopy { objectsByKind: ObjectsByKind, events: ChangeEvent[], rev: number }

export interface ObjectsSwitches {
  /** Status of the response to each call. */
  refuseWith: number | undefined
  /** Writes take effect, and their connection is then closed without a response. */
  loseAnswers: boolean
  /** Body of the response to each call that reads, instead of what was asked for. */
  answerWith: string | undefined
  /** Calls are received but get no response. */
  isSilent: boolean
  pageSize: number
  /** Time until a call is executed. */
  delayMs: number
  /** Serves the calls that allow stale data. */
  staleCopy: StoreCopy | undefined
}

export class ObjectsServer {
  switches: ObjectsSwitches = {
    refuseWith: undefined, answerWith: undefined, loseAnswers: false, isSilent: false, pageSize: 500, delayMs: 0, staleCopy: undefined
  }

  readonly calls: string[] = []
  private objectsByKind: ObjectsByKind = new Map()
  private events: ChangeEvent[] = []
  private rev = 1
  /** Watches from an earlier revision get a response with status 410. */
  private oldestRev = 0
  /** Rises with each restore, and is in the header of each response. */
  private era = 1
  private readonly waiters = new Set<() => void>()
  private readonly server: Server

  constructor () {
    this.server = createServer((message, response) => { this.handle(message, response).catch(() => { response.destroy() }) })
  }

  /** Resolves to the address as `ip:port`. */
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

  /** Writes an object directly, without the API, as an operator does. */
  writeObject (kind: string, name: string, spec: unknown): number {
    const existing = this.getObjects(kind).get(name)
    return this.setObject(kind, { meta: { ...makeMeta(name), ...existing?.meta }, spec, status: null }).meta.rev
  }

  find (kind: string, name: string): StoredObject | undefined {
    return this.getObjects(kind).get(name)
  }

  /** Returns the state of the store for `restoreCopy`. */
  makeCopy (): StoreCopy {
    const objects = [...this.objectsByKind].map(([kind, byName]): [string, Map<string, StoredObject>] => [kind, new Map(byName)])
    return { objectsByKind: new Map(objects), events: [...this.events], rev: this.rev }
  }

  /** Loses all changes since the copy was made. Their revisions are assigned again. Watches on kept connections get no response. */
  restoreCopy ({ objectsByKind, events, rev }: StoreCopy, connections: 'close' | 'keep-silent' = 'close'): void {
    this.objectsByKind = new Map([...objectsByKind].map(([kind, byName]) => [kind, new Map(byName)]))
    this.events = [...events]
    this.rev = rev
    this.era += 1
    if (connections === 'close') this.server.closeAllConnections()
    else this.waiters.clear()
    this.wakeWaiters()
  }

  discardHistory (): void {
    this.events = []
    this.oldestRev = this.rev
    this.wakeWaiters()
  }

  private async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://store')
    const body = await text(message)
    this.calls.push(`${message.method ?? ''} ${url.pathname}${url.search}`)
    if (this.switches.delayMs > 0) await delay(this.switches.delayMs)
    if (this.switches.isSilent) return
    response.setHeader('store-era', this.era)
    if (this.switches.refuseWith !== undefined) return writeResponse(response, { status: this.switches.refuseWith })
    if (this.switches.answerWith !== undefined && message.method === 'GET') {
      response.end(this.switches.answerWith)
      return
    }
    const [, , , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent)
    const apiResponse = message.method === 'GET'
      ? await this.read(kind, name, url.searchParams)
      : this.write(message.method ?? '', kind, name, url.searchParams, parseBody(body), part === 'status')
    if (this.switches.loseAnswers && message.method !== 'GET') response.destroy()
    else writeResponse(response, apiResponse)
  }

  private async read (kind: string, name: string | undefined, query: URLSearchParams): Promise<ApiResponse> {
    const { staleCopy } = this.switches
    const watch = query.get('watch')
    if (query.has('mayBeStale') && staleCopy !== undefined) return readCopy(staleCopy, kind, watch)
    if (watch !== null) return await this.watch(kind, Number(watch), Number(query.get('waitMs') ?? 0))
    if (name !== undefined) {
      const object = this.getObjects(kind).get(name)
      return object === undefined ? { status: 404 } : { status: 200, body: object }
    }
    const after = query.get('after') ?? ''
    const matching = [...this.getObjects(kind).values()].filter(({ meta }) => meta.name > after)
    const sorted = matching.sort((left, right) => left.meta.name < right.meta.name ? -1 : 1)
    const items = sorted.slice(0, this.switches.pageSize)
    return { status: 200, body: { items, hasMore: items.length < sorted.length, currentRev: this.rev } }
  }

  private async watch (kind: string, from: number, waitMs: number): Promise<ApiResponse> {
    const deadlineMs = Date.now() + waitMs
    while (true) {
      if (from < this.oldestRev || from > this.rev) return { status: 410 }
      const events = listEvents(this.events, kind, from)
      const remainingMs = deadlineMs - Date.now()
      if (events.length > 0 || remainingMs <= 0) return { status: 200, body: { events, currentRev: this.rev } }
      await new Promise<void>(resolve => {
        const timer = setTimeout(wake, remainingMs)
        const { waiters } = this
        function wake (): void {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        waiters.add(wake)
      })
    }
  }

  private write (
    method: string, kind: string, nameInPath: string | undefined, query: URLSearchParams, body: Partial<StoredObject>, isStatus: boolean
  ): ApiResponse {
    const name = nameInPath ?? body.meta?.name ?? ''
    const existing = this.getObjects(kind).get(name)
    const expected = body.meta?.rev ?? (query.has('rev') ? Number(query.get('rev')) : undefined)
    if (method === 'POST') return existing === undefined ? this.create(kind, name, body.spec) : { status: 409, body: existing }
    if (existing === undefined) return { status: 404 }
    if (expected !== undefined && expected !== existing.meta.rev) return { status: 409, body: existing }
    if (method === 'DELETE') return this.remove(kind, existing)
    return { status: 200, body: this.setObject(kind, isStatus ? { ...existing, status: body.status ?? null } : { ...existing, spec: body.spec }) }
  }

  private create (kind: string, name: string, spec: unknown): ApiResponse {
    return { status: 200, body: this.setObject(kind, { meta: makeMeta(name), spec, status: null }) }
  }

  private setObject (kind: string, object: StoredObject): StoredObject {
    this.rev += 1
    const stored = { ...object, meta: { ...object.meta, rev: this.rev } }
    this.getObjects(kind).set(stored.meta.name, stored)
    this.events.push({ rev: this.rev, kind, object: stored, deleted: false })
    this.wakeWaiters()
    return stored
  }

  private remove (kind: string, object: StoredObject): ApiResponse {
    this.rev += 1
    this.getObjects(kind).delete(object.meta.name)
    this.events.push({ rev: this.rev, kind, object, deleted: true })
    this.wakeWaiters()
    return { status: 200 }
  }

  private getObjects (kind: string): Map<string, StoredObject> {
    const objects = this.objectsByKind.get(kind) ?? new Map<string, StoredObject>()
    this.objectsByKind.set(kind, objects)
    return objects
  }

  private wakeWaiters (): void {
    for (const wake of [...this.waiters]) wake()
  }
}

/** Returns the changes after the revision `watch`, or without it the objects. */
function readCopy ({ objectsByKind, events, rev }: StoreCopy, kind: string, watch: string | null): ApiResponse {
  if (watch === null) return { status: 200, body: { items: [...objectsByKind.get(kind)?.values() ?? []], hasMore: false, currentRev: rev } }
  return { status: 200, body: { events: listEvents(events, kind, Number(watch)), currentRev: rev } }
}

function listEvents (events: readonly ChangeEvent[], kind: string, from: number): Array<Pick<ChangeEvent, 'object' | 'deleted'>> {
  return events.filter(event => event.kind === kind && event.rev > from).map(({ object, deleted }) => ({ object, deleted }))
}

function makeMeta (name: string): Meta {
  return { name, rev: 0, createdAt: Date.now(), finalizers: [], markedForDeletion: false }
}

function writeResponse (response: ServerResponse, { status, body }: ApiResponse): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(body === undefined ? undefined : JSON.stringify(body))
}

function parseBody (body: string): Partial<StoredObject> {
  return body === '' ? {} : JSON.parse(body) as Partial<StoredObject>
}
