/**
 * The host records that a node holds, with an index of targets by service. The lists in the
 * index are replaced, never changed, so a reader keeps a consistent list.
 */
import { deriveTargets } from './queries/targets.js'
import type { HostRecord, Target } from './schema.js'

export class MemberTable {
  private readonly records = new Map<string, HostRecord>()
  private index: ReadonlyMap<string, readonly Target[]> = new Map()

  get (host: string): HostRecord | undefined {
    return this.records.get(host)
  }

  list (): IterableIterator<HostRecord> {
    return this.records.values()
  }

  get size (): number {
    return this.records.size
  }

  get targets (): ReadonlyMap<string, readonly Target[]> {
    return this.index
  }

  /** Commands only: see commands/merge.ts. */
  set (record: HostRecord): void {
    const before = this.records.get(record.host)
    this.records.set(record.host, record)
    this.reindex(record.host, [...(before?.targets ?? []), ...record.targets].map(one => one.service))
  }

  /** Commands only: see commands/expire.ts. */
  delete (host: string): void {
    const before = this.records.get(host)
    this.records.delete(host)
    this.reindex(host, (before?.targets ?? []).map(one => one.service))
  }

  private reindex (host: string, services: string[]): void {
    const next = new Map(this.index)
    const own = this.records.get(host)
    const derived = own === undefined ? [] : deriveTargets(own)
    for (const service of new Set(services)) {
      const others = (next.get(service) ?? []).filter(one => one.host !== host)
      const list = [...others, ...derived.filter(one => one.service === service)]
      if (list.length === 0) next.delete(service)
      else next.set(service, Object.freeze(list))
    }
    this.index = next
  }
}
