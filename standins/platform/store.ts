/**
 * The in-memory objects of the platform stand-in, with versions, conditional writes and removals, and watches from a revision.
 */
import { Err, Ok } from '../../src/core/index.js'
import type { Result } from '../../src/core/index.js'
import { MAX_VALUE_BYTES } from '../../src/store/index.js'
import type { ObjectKind, ObjectList, Removal, StoredObject, StoreFault, WatchEvent, Write } from '../../src/store/index.js'

const RETAINED_EVENTS = 10_000

export class MemoryObjects {
  private readonly objects = new Map<string, StoredObject>()
  private readonly listeners = new Set<(event: WatchEvent) => void>()
  private events: WatchEvent[] = []
  private revision = 0

  get (kind: ObjectKind, name: string): StoredObject | undefined {
    return this.objects.get(`${kind}/${name}`)
  }

  /** With a lag, returns the list as it was that many revisions ago, or at the oldest revision that the retained events reach back to. */
  list (kind: ObjectKind, revisionLag = 0): ObjectList {
    const objects = [...this.objects.values()].filter(object => object.kind === kind)
    if (revisionLag === 0) return { revision: this.revision, objects }
    const revision = Math.max(this.revision - revisionLag, (this.events[0]?.revision ?? this.revision + 1) - 1)
    return { revision, objects: this.listAtRevision(objects, kind, revision) }
  }

  write ({ kind, name, expected, value }: Write): Result<number, StoreFault> {
    const size = Buffer.byteLength(JSON.stringify(value) ?? '')
    if (size > MAX_VALUE_BYTES) return Err({ code: 'too-large', message: `value of ${size} bytes exceeds the limit of ${MAX_VALUE_BYTES}` })
    const currentVersion = this.get(kind, name)?.version ?? 0
    if (currentVersion !== expected) return Err(makeConflict(kind, name, currentVersion, expected))
    this.revision += 1
    const object: StoredObject = { kind, name, version: this.revision, value }
    this.objects.set(`${kind}/${name}`, object)
    this.emit({ revision: this.revision, object, removed: false })
    return Ok(this.revision)
  }

  remove ({ kind, name, expected }: Removal): Result<undefined, StoreFault> {
    const existing = this.get(kind, name)
    if (existing?.version !== expected) return Err(makeConflict(kind, name, existing?.version ?? 0, expected))
    this.revision += 1
    this.objects.delete(`${kind}/${name}`)
    this.emit({ revision: this.revision, object: existing, removed: true })
    return Ok(undefined)
  }

  /** Returns the events after a revision, or undefined when some of them are no longer retained. */
  listEvents (kind: ObjectKind, from: number): WatchEvent[] | undefined {
    const oldest = this.events[0]?.revision ?? this.revision + 1
    if (from + 1 < oldest && from < this.revision) return undefined
    return this.events.filter(event => event.revision > from && event.object.kind === kind)
  }

  listen (listener: (event: WatchEvent) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Discards past events, so that a watch from an earlier revision is rejected as too old. */
  discardEvents (): void {
    this.events = []
  }

  /** Returns the objects at a revision: those unchanged since then, and the last retained state of the others at that revision. */
  private listAtRevision (objects: readonly StoredObject[], kind: ObjectKind, revision: number): StoredObject[] {
    const objectsByName = new Map(objects.filter(object => object.version <= revision).map(object => [object.name, object]))
    for (const event of this.events) {
      if (event.object.kind !== kind || event.revision > revision) continue
      if (event.removed) objectsByName.delete(event.object.name)
      else objectsByName.set(event.object.name, event.object)
    }
    return [...objectsByName.values()]
  }

  private emit (event: WatchEvent): void {
    this.events.push(event)
    if (this.events.length > RETAINED_EVENTS * 2) this.events = this.events.slice(-RETAINED_EVENTS)
    for (const listener of [...this.listeners]) listener(event)
  }
}

function makeConflict (kind: ObjectKind, name: string, currentVersion: number, expected: number): StoreFault {
  return { code: 'conflict', message: `${kind}/${name} is at version ${currentVersion}, not ${expected}`, version: currentVersion }
}
