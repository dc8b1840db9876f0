/**
 * Admission of subscribers: bounded fan-out by redirection, and a bounded rate so that a herd is spread.
 */
import type { Clock } from '../../core/index.js'
import type { Down, Hello } from '../messages.js'
import type { Replica } from '../replica.js'

const RETRY_UNROOTED_MS = 200
const RETRY_BUSY_MS = 500

export interface AdmissionLimits { fanOut: number, perSecond: number }

export class SubscriberRegistry {
  private readonly peers = new Map<string, string>()
  private tokens: number
  private refilledAt: number

  constructor (private readonly limits: AdmissionLimits, private readonly clock: Clock) {
    this.tokens = limits.perSecond
    this.refilledAt = clock.monotonic()
  }

  get size (): number {
    return this.peers.size
  }

  listPeers (): string[] {
    return [...this.peers.values()]
  }

  /** The two subscribers with the lowest ids; they may claim the publisher's duty. */
  listCandidates (): string[] {
    return [...this.peers].sort(([left], [right]) => left < right ? -1 : 1).slice(0, 2).map(([, peer]) => peer)
  }

  /** Gives nothing when the subscriber was admitted, else the answer that turns it away. */
  admit (replica: Replica, hello: Hello): Down | undefined {
    if (!replica.isRooted || replica.place.path.includes(hello.node)) return { type: 'retry', afterMs: RETRY_UNROOTED_MS }
    const hasDuty = hello.duties.length > 0
    if (!hasDuty && !this.peers.has(hello.node) && this.peers.size >= this.limits.fanOut) {
      return { type: 'redirect', peers: this.listPeers() }
    }
    if (!this.takeToken()) return { type: 'retry', afterMs: RETRY_BUSY_MS }
    this.peers.set(hello.node, hello.peer)
    return undefined
  }

  release (node: string): void {
    this.peers.delete(node)
  }

  private takeToken (): boolean {
    const now = this.clock.monotonic()
    this.tokens = Math.min(this.limits.perSecond, this.tokens + (now - this.refilledAt) / 1000 * this.limits.perSecond)
    this.refilledAt = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
