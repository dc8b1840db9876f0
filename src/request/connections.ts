/**
 * The connections to one peer. Each is used by one exchange at a time; idle ones are bounded in number and age.
 */
import { Client } from 'undici'
import type { Clock } from '../core/index.js'
import { makeConnector } from './link.js'
import type { LinkState } from './link.js'

export interface Connection { readonly client: Client, readonly link: LinkState, usedAt: number }

const CONNECT_TIMEOUT_MS = 1_000
/** An idle connection can go silent unnoticed; one that carried an answer within this time is taken for alive. */
const FRESH_MS = 1_000

export class Connections {
  private readonly used = new Set<Connection>()
  /** The last one was used last. */
  private readonly idle: Connection[] = []
  private readonly waiting: Array<() => void> = []

  constructor (private readonly origin: string, private readonly limit: number, private readonly clock: Clock, private readonly idleMs: number) {}

  /** Gives nothing when the signal is aborted while all connections are in use. */
  async acquire (needsFresh: boolean, signal: AbortSignal): Promise<Connection | undefined> {
    this.prune()
    while (this.used.size >= this.limit) {
      await this.waitForRelease(signal)
      if (signal.aborted) {
        this.wakeNext()
        return undefined
      }
    }
    const connection = this.takeIdle(needsFresh) ?? this.openConnection()
    this.used.add(connection)
    return connection
  }

  /** A connection whose answer did not come whole is closed. */
  release (connection: Connection, isWhole: boolean): void {
    if (!this.used.delete(connection)) return
    connection.usedAt = this.clock.monotonic()
    if (isWhole) this.idle.push(connection)
    else closeConnection(connection)
    this.wakeNext()
  }

  closeIdle (): void {
    this.idle.splice(0).forEach(closeConnection)
  }

  /** Closes what has been idle for too long. True when no connection is left. */
  prune (): boolean {
    const oldest = this.clock.monotonic() - this.idleMs
    while (this.idle[0] !== undefined && this.idle[0].usedAt < oldest) this.closeOldest()
    return this.idle.length + this.used.size + this.waiting.length === 0
  }

  async close (): Promise<void> {
    await Promise.all([...this.idle, ...this.used].map(async ({ client }) => { await client.destroy() }))
  }

  private takeIdle (needsFresh: boolean): Connection | undefined {
    const newest = this.idle.at(-1)
    if (newest === undefined || (needsFresh && this.clock.monotonic() - newest.usedAt > FRESH_MS)) return undefined
    return this.idle.pop()
  }

  private openConnection (): Connection {
    if (this.idle.length + this.used.size >= this.limit) this.closeOldest()
    const link: LinkState = { isReset: false, endsAnswer: false }
    const client = new Client(this.origin, {
      pipelining: 1,
      connect: makeConnector(link, CONNECT_TIMEOUT_MS),
      keepAliveTimeout: this.idleMs,
      keepAliveMaxTimeout: this.idleMs,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return { client, link, usedAt: this.clock.monotonic() }
  }

  private closeOldest (): void {
    const oldest = this.idle.shift()
    if (oldest !== undefined) closeConnection(oldest)
  }

  private async waitForRelease (signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>(resolve => {
      const wake = (): void => {
        signal.removeEventListener('abort', leave)
        resolve()
      }
      const leave = (): void => {
        const index = this.waiting.indexOf(wake)
        if (index >= 0) this.waiting.splice(index, 1)
        resolve()
      }
      this.waiting.push(wake)
      signal.addEventListener('abort', leave, { once: true })
    })
  }

  private wakeNext (): void {
    if (this.used.size < this.limit) this.waiting.shift()?.()
  }
}

function closeConnection ({ client }: Connection): void {
  void client.destroy()
}
