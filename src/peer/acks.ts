/**
 * Counts of nodes by version in force: the node's own versions plus what each subscriber
 * reports of its subtree.
 */
import type { Ack, Lagging } from './messages.js'

export type Counts = Record<string, Record<string, number>>

const MAX_LAGGING = 20

export class AckTable {
  private readonly bySource = new Map<string, { counts: Counts, lagging: Lagging[] }>()

  /** Commands only: replaces what the source said of the services named. */
  record (source: string, ack: Pick<Ack, 'counts' | 'lagging'>): void {
    const held = this.bySource.get(source)
    this.bySource.set(source, { counts: { ...held?.counts, ...ack.counts }, lagging: ack.lagging })
  }

  /** Commands only. Gives the services that the source had reported. */
  remove (source: string): string[] {
    const held = this.bySource.get(source)
    this.bySource.delete(source)
    return Object.keys(held?.counts ?? {})
  }

  sumCounts (services: Iterable<string>): Counts {
    const sums: Counts = {}
    for (const service of services) sums[service] = this.sumService(service)
    return sums
  }

  readSources (): Record<string, Counts> {
    return Object.fromEntries([...this.bySource].map(([source, { counts }]) => [source, counts]))
  }

  listServices (): Set<string> {
    return new Set([...this.bySource.values()].flatMap(one => Object.keys(one.counts)))
  }

  listLagging (): Lagging[] {
    return [...this.bySource.values()].flatMap(one => one.lagging).slice(0, MAX_LAGGING)
  }

  private sumService (service: string): Record<string, number> {
    const sum: Record<string, number> = {}
    for (const { counts } of this.bySource.values()) {
      for (const [version, nodes] of Object.entries(counts[service] ?? {})) sum[version] = (sum[version] ?? 0) + nodes
    }
    return sum
  }
}
