/**
 * The crash marks of a node, bounded in number and age. Times are on the monotonic clock of the node.
 */
import { Emitter } from '../core/index.js'
import type { Clock } from '../core/index.js'
import { BLOCKING_CRASH_MARKS, CRASH_MARK_RETENTION_MS, MAX_SUSPECT_REQUESTS } from './schema.js'
import type { CrashMark } from './schema.js'

/** `hosts` are the hosts of the targets on which the request had marks, and those to which this node sent the request with its marks. */
export interface ClearedRequest { fingerprint: string, hosts: readonly string[] }

/** `source` is the host from which this node learned of the change; absent for a change that this node made itself. */
export interface SuspectChange { marks: readonly CrashMark[], cleared: readonly ClearedRequest[], source?: string }

export class SuspectTable {
  readonly changes = new Emitter<SuspectChange>()
  /** The time of each crash mark by fingerprint and target. The fingerprint that was marked last is last. */
  private readonly marks = new Map<string, Map<string, number>>()

  constructor (readonly clock: Clock) {}

  /** Returns the targets on which a request has crash marks that have not expired. */
  listTargets (fingerprint: string): string[] {
    const oldest = this.clock.monotonic() - CRASH_MARK_RETENTION_MS
    return [...this.marks.get(fingerprint) ?? []].filter(([, at]) => at >= oldest).map(([target]) => target)
  }

  /** Returns all marks, ordered by the time at which their request was last marked. */
  listMarks (): CrashMark[] {
    const now = this.clock.monotonic()
    const all = [...this.marks].flatMap(([fingerprint, targets]) => [...targets].map(([target, at]) => ({ fingerprint, target, ageMs: now - at })))
    return all.filter(mark => mark.ageMs <= CRASH_MARK_RETENTION_MS)
  }

  /** Commands only: see commands/mark.ts. Returns true if the mark was added. A blocked request gets no further marks. */
  addMark ({ fingerprint, target, ageMs }: CrashMark): boolean {
    const targets = this.listTargets(fingerprint)
    if (ageMs > CRASH_MARK_RETENTION_MS || targets.includes(target) || targets.length >= BLOCKING_CRASH_MARKS) return false
    const remaining = new Map([...this.marks.get(fingerprint) ?? []].filter(([marked]) => targets.includes(marked)))
    remaining.set(target, this.clock.monotonic() - ageMs)
    this.marks.delete(fingerprint)
    this.marks.set(fingerprint, remaining)
    const [oldest] = this.marks.keys()
    if (this.marks.size > MAX_SUSPECT_REQUESTS && oldest !== undefined) this.marks.delete(oldest)
    return true
  }

  /** Commands only: see commands/mark.ts. */
  removeMark (fingerprint: string, target: string): void {
    const targets = this.marks.get(fingerprint)
    targets?.delete(target)
    if (targets?.size === 0) this.marks.delete(fingerprint)
  }

  /** Commands only: see commands/mark.ts. Returns the ids of the targets on which the request had marks. */
  removeMarks (fingerprint: string): string[] {
    const targets = [...this.marks.get(fingerprint)?.keys() ?? []]
    this.marks.delete(fingerprint)
    return targets
  }
}
