/**
 * The host records of a node, with an index of targets by service and digests for comparing tables. The
 * lists in the index are replaced, never changed, so a reader keeps a consistent list.
 */
import { MemberDigests } from './digest.js'
import { deriveTargets } from './queries/targets.js'
import type { HostRecord, Target } from './schema.js'

interface Tombstone { record: HostRecord, at: number }

export class MemberTable {
  readonly digests = new MemberDigests()
  private readonly records = new Map<string, HostRecord>()
  /** Kept for TOMBSTONE_RETENTION_MS, so that a node that was partitioned cannot restore a removed record. */
  private readonly tombstones = new Map<string, Tombstone>()
  private readonly targetsByServiceAndHost = new Map<string, Map<string, readonly Target[]>>()
  private targetsByService: ReadonlyMap<string, readonly Target[]> = new Map()

  get (host: string): HostRecord | undefined {
    return this.records.get(host)
  }

  /** Also returns tombstones. */
  findNewest (host: string): HostRecord | undefined {
    return this.records.get(host) ?? this.tombstones.get(host)?.record
  }

  list (): IterableIterator<HostRecord> {
    return this.records.values()
  }

  listTombstones (): Tombstone[] {
    return [...this.tombstones.values()]
  }

  get size (): number {
    return this.records.size
  }

  get targets (): ReadonlyMap<string, readonly Target[]> {
    return this.targetsByService
  }

  /** Commands only: see commands/merge.ts. `at` is the local monotonic time. */
  setRecords (records: readonly HostRecord[], at: number): void {
    const changed = new Set<string>()
    for (const record of records) this.setRecord(record, at, changed)
    this.reindex(changed)
  }

  /** Commands only: see commands/remove.ts. */
  removeTombstone (host: string): void {
    this.tombstones.delete(host)
  }

  private setRecord (record: HostRecord, at: number, changed: Set<string>): void {
    const { host } = record
    this.removeTargets(host, changed)
    if (record.gone === true) {
      this.records.delete(host)
      this.digests.remove(host)
      this.tombstones.set(host, { record, at })
      return
    }
    this.tombstones.delete(host)
    this.records.set(host, record)
    this.digests.replace(record)
    this.addTargets(record, changed)
  }

  private removeTargets (host: string, changed: Set<string>): void {
    for (const { service } of this.records.get(host)?.targets ?? []) {
      this.targetsByServiceAndHost.get(service)?.delete(host)
      changed.add(service)
    }
  }

  private addTargets (record: HostRecord, changed: Set<string>): void {
    for (const target of deriveTargets(record)) {
      const hosts = this.targetsByServiceAndHost.get(target.service) ?? new Map<string, readonly Target[]>()
      hosts.set(record.host, [...(hosts.get(record.host) ?? []), target])
      this.targetsByServiceAndHost.set(target.service, hosts)
      changed.add(target.service)
    }
  }

  private reindex (services: ReadonlySet<string>): void {
    if (services.size === 0) return
    const next = new Map(this.targetsByService)
    for (const service of services) {
      const list = [...(this.targetsByServiceAndHost.get(service)?.values() ?? [])].flat()
      if (list.length === 0) next.delete(service)
      else next.set(service, Object.freeze(list))
    }
    this.targetsByService = next
  }
}
