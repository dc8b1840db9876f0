/**
 * A stand-in for the platform's store: objects by kind and name with conditional writes, lists in pages and watches. Its responses are
 * linearizable; those that may be stale are `staleMs` behind.
 */
import { createServer } from 'node:http'
import { text } from 'node:stream/consumers'

const PAGE_SIZE = 500

export class Store {
  constructor ({ staleMs = 0 } = {}) {
    this.staleMs = staleMs
    this.rev = 1
    this.objects = new Map()
    /** All changes: `{ at, rev, kind, object, deleted }`. */
    this.events = []
    this.waiters = new Set()
    this.server = createServer((message, response) => { this.handle(message, response).catch(() => { response.destroy() }) })
  }

  async listen (host, port) {
    await new Promise(resolve => { this.server.listen(port, host, resolve) })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes as the operator does. Returns when the change is acknowledged. */
  put (kind, name, spec) {
    return this.set(kind, name, spec)
  }

  async handle (message, response) {
    const url = new URL(message.url, 'http://store')
    const body = await text(message)
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent)
    const result = message.method === 'GET'
      ? await this.read(kind, name, url.searchParams, response)
      : this.write(message.method, kind, name, url.searchParams, body === '' ? {} : JSON.parse(body))
    response.writeHead(result.status, { 'content-type': 'application/json' })
    response.end(result.body === undefined ? undefined : JSON.stringify(result.body))
  }

  async read (kind, name, query, response) {
    const isStale = query.get('mayBeStale') === '1'
    const watch = query.get('watch')
    if (watch !== null) return await this.watch(kind, Number(watch), Number(query.get('waitMs') ?? 0), isStale, response)
    const { objects, rev } = isStale ? this.findPast() : this
    const ofKind = objects.get(kind) ?? new Map()
    if (name !== undefined) {
      const object = ofKind.get(name)
      return object === undefined ? { status: 404 } : { status: 200, body: object }
    }
    const after = query.get('after') ?? ''
    const sorted = [...ofKind.values()].filter(({ meta }) => meta.name > after).sort((left, right) => left.meta.name < right.meta.name ? -1 : 1)
    return { status: 200, body: { items: sorted.slice(0, PAGE_SIZE), hasMore: sorted.length > PAGE_SIZE, currentRev: rev } }
  }

  /** The state as it was `staleMs` ago. */
  findPast () {
    const oldest = Date.now() - this.staleMs
    const objects = new Map()
    let rev = 1
    for (const event of this.events) {
      if (event.at > oldest) break
      rev = event.rev
      const ofKind = objects.get(event.kind) ?? new Map()
      objects.set(event.kind, ofKind)
      if (event.deleted) ofKind.delete(event.object.meta.name)
      else ofKind.set(event.object.meta.name, event.object)
    }
    return { objects, rev }
  }

  async watch (kind, from, waitMs, isStale, response) {
    const endsAt = Date.now() + waitMs
    while (true) {
      const newest = isStale ? this.findPast().rev : this.rev
      const events = this.events.filter(event => event.kind === kind && event.rev > from && event.rev <= newest)
      const leftMs = endsAt - Date.now()
      if (events.length > 0 || leftMs <= 0 || response.destroyed) {
        return { status: 200, body: { events: events.map(({ object, deleted }) => ({ object, deleted })), currentRev: Math.max(from, newest) } }
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        this.waiters.add(wake)
      })
    }
  }

  write (method, kind, nameInPath, query, body) {
    const name = nameInPath ?? body.meta?.name
    const existing = this.objects.get(kind)?.get(name)
    const expected = body.meta?.rev ?? (query.has('rev') ? Number(query.get('rev')) : undefined)
    if (method === 'POST') return existing === undefined ? { status: 201, body: this.set(kind, name, body.spec) } : { status: 409, body: existing }
    if (existing === undefined) return { status: 404 }
    if (expected !== undefined && expected !== existing.meta.rev) return { status: 409, body: existing }
    if (method === 'DELETE') return this.remove(kind, existing)
    return { status: 200, body: this.set(kind, name, body.spec) }
  }

  set (kind, name, spec) {
    const ofKind = this.objects.get(kind) ?? new Map()
    this.objects.set(kind, ofKind)
    const existing = ofKind.get(name)
    if (existing !== undefined && JSON.stringify(existing.spec) === JSON.stringify(spec)) return existing
    this.rev += 1
    const meta = { name, rev: this.rev, createdAt: existing?.meta.createdAt ?? Date.now(), finalizers: [], markedForDeletion: false }
    const object = { meta, spec, status: null }
    ofKind.set(name, object)
    this.record(kind, object, false)
    return object
  }

  remove (kind, object) {
    this.rev += 1
    this.objects.get(kind).delete(object.meta.name)
    this.record(kind, object, true)
    return { status: 200, body: object }
  }

  record (kind, object, deleted) {
    this.events.push({ at: Date.now(), rev: this.rev, kind, object, deleted })
    for (const wake of [...this.waiters]) wake()
  }
}
