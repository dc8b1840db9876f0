/**
 * The versions of a node: the newest of each service (staged) and the snapshot in force.
 */
import type { Entry, Snapshot } from './schema.js'

export class SnapshotTable {
  /** Newest version of each service. Only commands/stage.ts writes it. */
  readonly staged = new Map<string, Entry>()
  private inForce: Snapshot = Object.freeze({ serial: 0, entries: new Map(), targets: new Map() })

  get current (): Snapshot {
    return this.inForce
  }

  /** Commands only: see commands/promote.ts. This is the only assignment that puts a snapshot in force. */
  replace (next: Omit<Snapshot, 'serial'>): void {
    this.inForce = Object.freeze({ ...next, serial: this.inForce.serial + 1 })
  }
}
