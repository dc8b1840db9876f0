/**
 * Decides which hosts a node tells of crash marks that it cleared. The load pattern is targets that end with many requests in flight, as
 * when the targets of a service are replaced: each of these requests gets a mark, and most complete soon afterwards on another target.
 * Cleared marks are therefore collected for a moment, and each host gets all of them in one message.
 *
 * The record of a host names the marks of its targets, so the owner of a mark passes its removal on by its next record. A host to which
 * the request was sent with its marks is told directly, since it may have them from the request alone.
 */
import type { SuspectChange } from './table.js'

export class ClearedMarkCollector {
  private readonly clearedByHost = new Map<string, Set<string>>()

  constructor (private readonly host: string) {}

  get isIdle (): boolean {
    return this.clearedByHost.size === 0
  }

  /** Marks that another node cleared were reported by that node. */
  collect ({ cleared, source }: SuspectChange): void {
    if (source !== undefined) return
    for (const { fingerprint, hosts } of cleared) for (const host of hosts) this.addCleared(host, fingerprint)
  }

  /** Returns the fingerprints of the collected marks by host, which then count as sent. */
  consume (): Map<string, string[]> {
    const cleared = new Map([...this.clearedByHost].map(([host, fingerprints]) => [host, [...fingerprints]]))
    this.clearedByHost.clear()
    return cleared
  }

  private addCleared (host: string, fingerprint: string): void {
    if (host === this.host) return
    const fingerprints = this.clearedByHost.get(host) ?? new Set<string>()
    this.clearedByHost.set(host, fingerprints.add(fingerprint))
  }
}
