/**
 * The stand-in's objects, in memory: versions, conditional writes and removals, and watches from a revision.
 */
import { Err, Ok } from '../../src/core/index.js'
import type { Result } from '../../src/core/index.js'
import { MAX_VALUE_BYTES } from '../../src/store/index.js'
import type { ObjectKind, ObjectList, Removal, StoredObject, StoreFault, WatchEvent, Write } from '../../src/store/index.js'

const KEPT_EVENTS = 10_000

export class MemoryObjects {
  private readonly objects = new Map<string, StoredObject>()
  private readonly listeners = new Set<(event: WatchEvent) => void>()
  private events: WatchEvent[] = []
  private revision = 0

  get (kind: ObjectKind, name: string): StoredObject | undefined {
    return this.objects.get(`${kind}/${name}`)
  }

  /** A lag gives the list as it was so many revisions ago, as far as the events since then are kept. */
  list (kind: ObjectKind, lag = 0): ObjectList {
    const objects = [...this.objects.values()].filter(object => object.kind === kind)
    if (lag === 0) return { revision: this.revision, objects }
    const revision = Math.max(this.revision - lag, (this.events[0]?.revision ?? this.revision + 1) - 1)
    return { revision, objects: this.listPast(objects, kind, revision) }
  }

  write ({ kind, name, expected, value }: Write): Result<number, StoreFault> {
    const size = Buffer.byteLength(JSON.stringify(value) ?? '')
    if (size > MAX_VALUE_BYTES) return Err({ code: 'too-large', message: `value of ${size} bytes is above ${MAX_VALUE_BYTES}` })
    const held = this.get(kind, name)?.version ?? 0
    if (held !== expected) return Err(makeConflict(kind, name, held, expected))
    this.revision += 1
    const object: StoredObject = { kind, name, version: this.revision, value }
    this.objects.set(`${kind}/${name}`, object)
    this.emit({ revision: this.revision, object, removed: false })
    return Ok(this.revision)
  }

  remove ({ kind, name, expected }: Removal): Result<undefined, StoreFault> {
    const held = this.get(kind, name)
    if (held?.version !== expected) return Err(makeConflict(kind, name, held?.version ?? 0, expected))
    this.revision += 1
    this.objects.delete(`${kind}/${name}`)
    this.emit({ revision: this.revision, object: held, removed: true })
    return Ok(undefined)
  }

  /** Events after a revision, or nothing when they are no longer kept. */
  listEvents (kind: ObjectKind, from: number): WatchEvent[] | undefined {
    const oldest = this.events[0]?.revision ?? this.revision + 1
    if (from + 1 < oldest && from < this.revision) return undefined
    return this.events.filter(event => event.revision > from && event.object.kind === kind)
  }

  listen (listener: (event: WatchEvent) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Forgets past events, so that watches from before end as too old. */
  forgetEvents (): void {
    this.events = []
  }

  /** Objects as of a revision: those unchanged since, and the last kept state before it of the others. */
  private listPast (objects: readonly StoredObject[], kind: ObjectKind, revision: number): StoredObject[] {
    const past = new Map(objects.filter(object => object.version <= revision).map(object => [object.name, object]))
    for (const event of this.events) {
      if (event.object.kind !== kind || event.revision > revision) continue
      if (event.removed) past.delete(event.object.name)
      else past.set(event.object.name, event.object)
    }
    return [...past.values()]
  }

  private emit (event: WatchEvent): void {
    this.events.push(event)
    if (this.events.length > KEPT_EVENTS * 2) this.events = this.events.slice(-KEPT_EVENTS)
    for (const listener of [...this.listeners]) listener(event)
  }
}

function makeConflict (kind: ObjectKind, name: string, held: number, expected: number): StoreFault {
  return { code: 'conflict', message: `${kind}/${name} is at version ${held}, not ${expected}`, version: held }
}
