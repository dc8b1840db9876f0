/**
 * The marks that a node knows, bounded in number and age. Times are on this node's monotonic clock.
 */
import { Emitter } from '../core/index.js'
import type { Clock } from '../core/index.js'
import { BLOCKING_CRASH_MARKS, CRASH_MARK_RETENTION_MS, MAX_SUSPECT_REQUESTS } from './schema.js'
import type { CrashMark } from './schema.js'

/** `source` is the peer that the change came from; it does not get it back. */
export interface SuspectChange { marks: readonly CrashMark[], cleared: readonly string[], source?: string }

export class SuspectTable {
  readonly changes = new Emitter<SuspectChange>()
  /** Time of each mark by target, by fingerprint; the fingerprint marked last is last. */
  private readonly marks = new Map<string, Map<string, number>>()

  constructor (readonly clock: Clock) {}

  /** Targets on which a request has marks that are still kept. */
  listTargets (fingerprint: string): string[] {
    const oldest = this.clock.monotonic() - CRASH_MARK_RETENTION_MS
    return [...this.marks.get(fingerprint) ?? []].filter(([, at]) => at >= oldest).map(([target]) => target)
  }

  listMarks (): CrashMark[] {
    const now = this.clock.monotonic()
    const all = [...this.marks].flatMap(([fingerprint, targets]) => [...targets].map(([target, at]) => ({ fingerprint, target, ageMs: now - at })))
    return all.filter(mark => mark.ageMs <= CRASH_MARK_RETENTION_MS)
  }

  /** Commands only: see commands/mark.ts. True when the mark is new. Marks beyond those that block add nothing. */
  addMark ({ fingerprint, target, ageMs }: CrashMark): boolean {
    const targets = this.listTargets(fingerprint)
    if (ageMs > CRASH_MARK_RETENTION_MS || targets.includes(target) || targets.length >= BLOCKING_CRASH_MARKS) return false
    const kept = new Map([...this.marks.get(fingerprint) ?? []].filter(([held]) => targets.includes(held)))
    kept.set(target, this.clock.monotonic() - ageMs)
    this.marks.delete(fingerprint)
    this.marks.set(fingerprint, kept)
    const [first] = this.marks.keys()
    if (this.marks.size > MAX_SUSPECT_REQUESTS && first !== undefined) this.marks.delete(first)
    return true
  }

  /** Commands only: see commands/mark.ts. */
  removeMarks (fingerprint: string): boolean {
    return this.marks.delete(fingerprint)
  }
}
