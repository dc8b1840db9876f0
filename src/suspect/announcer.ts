/**
 * Decides which changes of crash marks this node sends to its peers. The load pattern is targets that end with many requests in
 * flight, as when the targets of a service are replaced: each of these requests gets a mark, and most complete soon afterwards on
 * another target. Changes are therefore collected for a moment, so that a mark and its removal cancel each other, and all changes of
 * that time go out in one message.
 *
 * Of the nodes that know a mark, only the one that set it announces it to all peers. A node that clears a mark of a peer tells that
 * peer, which passes it on if the mark was announced, and the peers to which it sent the request with its marks.
 */
import { MAX_SUSPECT_REQUESTS } from './schema.js'
import type { CrashMark } from './schema.js'
import type { SuspectChange } from './table.js'

/** The messages of one time: to all peers, and to single hosts about marks that this node cleared. */
export interface SuspectMessages { marks: CrashMark[], cleared: string[], clearedByHost: ReadonlyMap<string, string[]> }

export class CrashMarkAnnouncer {
  /** Marks of this node that no peer knows yet, by fingerprint. */
  private readonly pending = new Map<string, CrashMark[]>()
  /** Fingerprints that peers have marks of because of this node. */
  private readonly announced = new Set<string>()
  private readonly cleared = new Set<string>()
  private readonly clearedByHost = new Map<string, Set<string>>()

  constructor (private readonly host: string) {}

  get isIdle (): boolean {
    return this.pending.size + this.cleared.size + this.clearedByHost.size === 0
  }

  collect ({ marks, cleared, source }: SuspectChange): void {
    for (const { fingerprint, hosts } of cleared) this.collectCleared(fingerprint, source === undefined ? hosts : [])
    if (source !== undefined) return
    for (const mark of marks) this.pending.set(mark.fingerprint, [...this.pending.get(mark.fingerprint) ?? [], mark])
  }

  /** Returns the messages for the collected changes, which then count as sent. */
  consume (): SuspectMessages {
    const messages = {
      marks: [...this.pending.values()].flat(),
      cleared: [...this.cleared],
      clearedByHost: new Map([...this.clearedByHost].map(([host, fingerprints]) => [host, [...fingerprints]]))
    }
    for (const fingerprint of this.pending.keys()) this.recordAnnounced(fingerprint)
    this.pending.clear()
    this.cleared.clear()
    this.clearedByHost.clear()
    return messages
  }

  private collectCleared (fingerprint: string, hosts: readonly string[]): void {
    this.pending.delete(fingerprint)
    if (this.announced.delete(fingerprint)) this.cleared.add(fingerprint)
    for (const host of hosts) this.addClearedByHost(host, fingerprint)
  }

  private addClearedByHost (host: string, fingerprint: string): void {
    if (host === this.host) return
    const fingerprints = this.clearedByHost.get(host) ?? new Set<string>()
    this.clearedByHost.set(host, fingerprints.add(fingerprint))
  }

  private recordAnnounced (fingerprint: string): void {
    this.announced.delete(fingerprint)
    this.announced.add(fingerprint)
    const [oldest] = this.announced
    if (this.announced.size > MAX_SUSPECT_REQUESTS && oldest !== undefined) this.announced.delete(oldest)
  }
}
