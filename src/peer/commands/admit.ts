/**
 * Admission of subscribers: bounded fan-out by redirection, and a bounded rate so that a herd is spread.
 */
import type { Clock } from '../../core/index.js'
import type { Down, Hello } from '../messages.js'
import type { Replica } from '../replica.js'

/** The publisher has no upstream itself, or the subscriber is above it. */
export const RETRY_UNROOTED_MS = 200
const RETRY_BUSY_MS = 500
const CANDIDATES = 2

export interface AdmissionLimits { fanOut: number, perSecond: number }

/** One stream of one subscriber. A node that subscribes again gets a new session, which ends the one before. */
export interface Session { hello: Hello, end: () => void }

export class SubscriberRegistry {
  private readonly sessions = new Map<string, Session>()
  private tokens: number
  private refilledAt: number

  constructor (private readonly limits: AdmissionLimits, private readonly clock: Clock) {
    this.tokens = limits.perSecond
    this.refilledAt = clock.monotonic()
  }

  get size (): number {
    return this.sessions.size
  }

  /** The subscribers of a zone with the lowest ids; they may claim the duty of relay when the publisher goes silent. */
  listCandidates (zone: string): string[] {
    const near = [...this.sessions.values()].map(one => one.hello).filter(hello => hello.zone === zone)
    return near.sort((left, right) => left.node < right.node ? -1 : 1).slice(0, CANDIDATES).map(hello => hello.peer)
  }

  /** Peers of the subscribers that hold a duty themselves. */
  listHolders (): string[] {
    return [...this.sessions.values()].filter(one => one.hello.duties.length > 0).map(one => one.hello.peer)
  }

  has (node: string): boolean {
    return this.sessions.has(node)
  }

  isCurrent (session: Session): boolean {
    return this.sessions.get(session.hello.node) === session
  }

  /** Gives nothing when the subscriber was admitted, else the answer that turns it away. */
  admit (replica: Replica, session: Session): Down | undefined {
    const { hello } = session
    if (!replica.isRooted || replica.place.path.includes(hello.node)) return makeRetry(replica, RETRY_UNROOTED_MS)
    if (this.isFull(hello)) return { type: 'redirect', peers: this.listNear(hello.zone) }
    if (!this.takeToken()) return makeRetry(replica, RETRY_BUSY_MS)
    this.sessions.get(hello.node)?.end()
    this.sessions.set(hello.node, session)
    return undefined
  }

  /** False when the node has a newer session, which stays. */
  release (session: Session): boolean {
    return this.isCurrent(session) && this.sessions.delete(session.hello.node)
  }

  /** Holders of a duty are always taken: there are few of them, and whole zones depend on them. */
  private isFull (hello: Hello): boolean {
    return hello.duties.length === 0 && !this.sessions.has(hello.node) && this.sessions.size >= this.limits.fanOut
  }

  /** Subscribers of the same zone, so that a redirection does not lead across zones; all when there are none. */
  private listNear (zone: string): string[] {
    const all = [...this.sessions.values()].map(one => one.hello)
    const near = all.filter(one => one.zone === zone)
    return (near.length > 0 ? near : all).map(one => one.peer)
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

function makeRetry (replica: Replica, afterMs: number): Down {
  return { type: 'retry', afterMs, duties: [...replica.duties] }
}
