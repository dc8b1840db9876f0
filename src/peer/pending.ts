/**
 * Hosts whose records a task still has to send. They are collected for a short time, so that
 * changes which come together travel in one message, and a change is never delayed for longer
 * however many follow it.
 */
import type { Clock } from '../core/index.js'

export const MEMBERS_DEBOUNCE_MS = 50

export class PendingHosts {
  private readonly hosts = new Set<string>()

  /** `onDue` is told once for each collection, to send what `takeAll` gives. */
  constructor (private readonly clock: Clock, private readonly signal: AbortSignal, private readonly onDue: () => void) {}

  push (hosts: readonly string[]): void {
    if (hosts.length === 0) return
    if (this.hosts.size === 0) void this.clock.sleep(MEMBERS_DEBOUNCE_MS, this.signal).then(this.onDue)
    for (const host of hosts) this.hosts.add(host)
  }

  takeAll (): string[] {
    const all = [...this.hosts]
    this.hosts.clear()
    return all
  }
}
