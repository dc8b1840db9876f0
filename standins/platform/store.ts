/**
 * The stand-in's objects, in memory: versions, conditional writes and watches from a revision.
 */
import { Err, Ok } from '../../src/core/index.js'
import type { Result } from '../../src/core/index.js'
import type { Kind, ObjectList, Removal, StoredObject, StoreFault, WatchEvent, Write } from '../../src/platform/index.js'

const KEPT_EVENTS = 10_000

export class MemoryObjects {
  private readonly objects = new Map<string, StoredObject>()
  private readonly listeners = new Set<(event: WatchEvent) => void>()
  private events: WatchEvent[] = []
  private revision = 0

  get (kind: Kind, name: string): StoredObject | undefined {
    return this.objects.get(`${kind}/${name}`)
  }

  list (kind: Kind): ObjectList {
    return { revision: this.revision, objects: [...this.objects.values()].filter(object => object.kind === kind) }
  }

  write ({ kind, name, expected, value }: Write): Result<number, StoreFault> {
    const held = this.get(kind, name)?.version ?? 0
    if (held !== expected) return Err({ code: 'conflict', message: `${kind}/${name} is at version ${held}, not ${expected}`, version: held })
    this.revision += 1
    const object: StoredObject = { kind, name, version: this.revision, value }
    this.objects.set(`${kind}/${name}`, object)
    this.emit({ revision: this.revision, object })
    return Ok(this.revision)
  }

  remove ({ kind, name, expected }: Removal): Result<void, StoreFault> {
    const held = this.get(kind, name)?.version ?? 0
    if (held !== expected || held === 0) return Err({ code: 'conflict', message: `${kind}/${name} is at version ${held}, not ${expected}`, version: held })
    this.objects.delete(`${kind}/${name}`)
    return Ok(undefined)
  }

  /** Events after a revision, or nothing when they are no longer kept. */
  listEvents (kind: Kind, from: number): WatchEvent[] | undefined {
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

  private emit (event: WatchEvent): void {
    this.events.push(event)
    if (this.events.length > KEPT_EVENTS * 2) this.events = this.events.slice(-KEPT_EVENTS)
    for (const listener of [...this.listeners]) listener(event)
  }
}
