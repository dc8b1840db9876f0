/**
 * HTTP exchanges with targets and with other nodes. A failed exchange yields a verdict on whether the request may have run.
 */
import type { Dispatcher } from 'undici'
import { Err, makeFailure, Ok, describeError, SystemClock } from '../core/index.js'
import type { Clock, Failure, Result } from '../core/index.js'
import { ConnectionPool } from './connections.js'
import type { Connection } from './connections.js'
import { ExchangeHandler } from './handler.js'
import type { ExchangeFailure } from './handler.js'
import { HttpClient } from './httpclient.js'
import type { OutgoingRequest, TargetResponse } from './httpclient.js'
import { HEADERS } from './schema.js'

/** Less than the 5 s after which Node.js servers close an idle connection. */
const IDLE_TIMEOUT_MS = 4_000
const RETRY_AFTER_MS = 100

/** HTTP/1.1 without pipelining: a connection carries one exchange at a time and is reused only after a complete response. */
export class UndiciHttpClient extends HttpClient {
  private readonly pools = new Map<string, ConnectionPool>()

  constructor (
    private readonly connectionsPerPeer: number,
    private readonly resolveAddress: (address: string) => string = address => address,
    private readonly clock: Clock = new SystemClock(),
    private readonly idleTimeoutMs = IDLE_TIMEOUT_MS
  ) {
    super()
  }

  override async send (outgoing: OutgoingRequest): Promise<Result<TargetResponse, Failure>> {
    const pool = this.getPool(outgoing.address)
    const acquired = await acquireConnection(pool, outgoing)
    if (acquired.err) return Err(convertFailure(acquired.val, outgoing))
    const connection = acquired.val
    const handler = new ExchangeHandler(
      outgoing, isComplete => { endExchange(pool, connection, outgoing.signal, isComplete) }, connection.state
    )
    const response = await handler.run(connection.client, {
      path: outgoing.path,
      method: outgoing.method as Dispatcher.HttpMethod,
      headers: outgoing.headers,
      body: outgoing.body ?? null
    })
    return response.ok ? Ok(response.val) : Err(convertFailure(response.val, outgoing))
  }

  override async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(async pool => { await pool.close() }))
  }

  private getPool (address: string): ConnectionPool {
    const existing = this.pools.get(address)
    if (existing !== undefined) return existing
    for (const [otherAddress, otherPool] of this.pools) if (otherPool.prune()) this.pools.delete(otherAddress)
    const pool = new ConnectionPool(`http://${this.resolveAddress(address)}`, this.connectionsPerPeer, this.clock, this.idleTimeoutMs)
    this.pools.set(address, pool)
    return pool
  }
}

/** Undici throws when it makes a connection to a text that is no address. */
async function acquireConnection (pool: ConnectionPool, { headers, signal }: OutgoingRequest): Promise<Result<Connection, ExchangeFailure>> {
  try {
    const connection = await pool.acquire(headers[HEADERS.key] !== undefined, signal)
    return connection === undefined ? Err(makeUnsentFailure(signal.reason)) : Ok(connection)
  } catch (error) {
    return Err(makeUnsentFailure(error))
  }
}

function makeUnsentFailure (error: unknown): ExchangeFailure {
  return { kind: 'broken', error, isStarted: false, hasHead: false }
}

/** After a timeout, the idle connections to the same address are closed as well, since they may be unresponsive for the same reason. */
function endExchange (pool: ConnectionPool, connection: Connection, signal: AbortSignal, isComplete: boolean): void {
  pool.release(connection, isComplete)
  if (!isComplete && isTimeout(signal)) pool.closeIdle()
}

function isTimeout (signal: AbortSignal): boolean {
  return signal.aborted && (signal.reason as { name?: unknown } | undefined)?.name === 'TimeoutError'
}

/** Undici has sent no byte of an exchange that it has not started to write, whatever the error; the request of any other exchange may have run. */
function convertFailure (exchangeFailure: ExchangeFailure, { address, signal }: OutgoingRequest): Failure {
  if (exchangeFailure.kind === 'rejected') return exchangeFailure.failure
  const { error, isStarted, hasHead } = exchangeFailure
  const verdict = isStarted ? 'may-have-run' : 'not-run'
  if (signal.aborted) return makeFailure(verdict, 504, 'deadline', `no complete response from ${address} in time`)
  if (hasHead) return { ...makeFailure(verdict, 502, 'answer_cut', `the response of ${address} ended early: ${describeError(error)}`), reached: true }
  if (isStarted) return { ...makeFailure(verdict, 502, 'connection_lost', `connection to ${address} lost: ${describeError(error)}`), reached: true }
  return makeFailure(verdict, 503, 'not_connected', `no connection to ${address}: ${describeError(error)}`, RETRY_AFTER_MS)
}
