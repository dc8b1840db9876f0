/**
 * The connections to one target or node. Each connection carries one exchange at a time; idle connections are limited in number and age.
 */
import { Client } from '../core/undici.js'
import type { Clock } from '../core/index.js'
import { makeConnectionState, makeConnector } from './connector.js'
import type { ConnectionState } from './connector.js'

export interface Connection { readonly client: Client, readonly state: ConnectionState, usedAt: number }

const CONNECT_TIMEOUT_MS = 1_000
/** An idle connection can become unresponsive unnoticed. One that carried a response within this time is considered alive. */
const FRESH_CONNECTION_MS = 1_000

export class ConnectionPool {
  private readonly inUse = new Set<Connection>()
  /** Ordered by last use, the most recent last. */
  private readonly idle: Connection[] = []
  private readonly waiters: Array<() => void> = []

  constructor (
    private readonly origin: string,
    private readonly maxConnections: number,
    private readonly clock: Clock,
    private readonly idleTimeoutMs: number
  ) {}

  /** Resolves with undefined when the signal aborts while all connections are in use. */
  async acquire (needsFresh: boolean, signal: AbortSignal): Promise<Connection | undefined> {
    this.prune()
    while (this.inUse.size >= this.maxConnections) {
      await this.waitForRelease(signal)
      if (signal.aborted) {
        this.wakeNext()
        return undefined
      }
    }
    const connection = this.acquireIdle(needsFresh) ?? this.openConnection()
    this.inUse.add(connection)
    return connection
  }

  /** Closes the connection after a truncated response. */
  release (connection: Connection, isComplete: boolean): void {
    if (!this.inUse.delete(connection)) return
    connection.usedAt = this.clock.monotonic()
    if (isComplete) this.idle.push(connection)
    else closeConnection(connection)
    this.wakeNext()
  }

  closeIdle (): void {
    this.idle.splice(0).forEach(closeConnection)
  }

  /** Closes connections that exceed the idle timeout. Returns true when no connection is left. */
  prune (): boolean {
    const oldest = this.clock.monotonic() - this.idleTimeoutMs
    while (this.idle[0] !== undefined && this.idle[0].usedAt < oldest) this.closeOldest()
    return this.idle.length + this.inUse.size + this.waiters.length === 0
  }

  async close (): Promise<void> {
    await Promise.all([...this.idle, ...this.inUse].map(async ({ client }) => { await client.destroy() }))
  }

  private acquireIdle (needsFresh: boolean): Connection | undefined {
    const newest = this.idle.at(-1)
    if (newest === undefined || (needsFresh && this.clock.monotonic() - newest.usedAt > FRESH_CONNECTION_MS)) return undefined
    return this.idle.pop()
  }

  private openConnection (): Connection {
    if (this.idle.length + this.inUse.size >= this.maxConnections) this.closeOldest()
    const state = makeConnectionState()
    const client = new Client(this.origin, {
      pipelining: 1,
      connect: makeConnector(state, CONNECT_TIMEOUT_MS),
      keepAliveTimeout: this.idleTimeoutMs,
      keepAliveMaxTimeout: this.idleTimeoutMs,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return { client, state, usedAt: this.clock.monotonic() }
  }

  private closeOldest (): void {
    const oldest = this.idle.shift()
    if (oldest !== undefined) closeConnection(oldest)
  }

  private async waitForRelease (signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>(resolve => {
      const wake = (): void => {
        signal.removeEventListener('abort', cancel)
        resolve()
      }
      const cancel = (): void => {
        const index = this.waiters.indexOf(wake)
        if (index >= 0) this.waiters.splice(index, 1)
        resolve()
      }
      this.waiters.push(wake)
      signal.addEventListener('abort', cancel, { once: true })
    })
  }

  private wakeNext (): void {
    if (this.inUse.size < this.maxConnections) this.waiters.shift()?.()
  }
}

function closeConnection ({ client }: Connection): void {
  void client.destroy()
}
