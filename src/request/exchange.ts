/**
 * One HTTP exchange with a target or with the node of its host, and what is known of its run when it fails.
 */
import type { Readable } from 'node:stream'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import { Err, Ok, describeError, makeFailure } from '../core/index.js'
import type { Failure, Result } from '../core/index.js'
import type { Headers } from './headers.js'

export interface Outgoing {
  /** `ip:port`. */
  address: string
  method: string
  path: string
  headers: Headers
  body: Readable | Buffer | undefined
  signal: AbortSignal
}

export type Answer = Dispatcher.ResponseData

const CONNECT_TIMEOUT_MS = 1_000
const IDLE_MS = 4_000

/** Errors of a connection that was never made: no byte was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

export abstract class Exchanger {
  abstract send (outgoing: Outgoing): Promise<Result<Answer, Failure>>
  abstract close (): Promise<void>
}

/** HTTP/1.1 without pipelining, so a connection carries one exchange at a time. */
export class UndiciExchanger extends Exchanger {
  private readonly agent: Agent

  constructor (connections: number, private readonly resolve: (address: string) => string = address => address) {
    super()
    this.agent = new Agent({
      connections, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: IDLE_MS, headersTimeout: 0, bodyTimeout: 0
    })
  }

  override async send (outgoing: Outgoing): Promise<Result<Answer, Failure>> {
    try {
      return Ok(await this.agent.request({
        origin: `http://${this.resolve(outgoing.address)}`,
        path: outgoing.path,
        method: outgoing.method as Dispatcher.HttpMethod,
        headers: outgoing.headers,
        body: outgoing.body ?? null,
        signal: outgoing.signal
      }))
    } catch (error) {
      return Err(convertError(error, outgoing))
    }
  }

  override async close (): Promise<void> {
    await this.agent.destroy()
  }
}

function convertError (error: unknown, { address, signal }: Outgoing): Failure {
  const code = (error as { code?: unknown }).code
  if (typeof code === 'string' && NOT_SENT_CODES.has(code)) {
    return makeFailure('not-run', 503, 'not_connected', `no connection to ${address}: ${describeError(error)}`, 100)
  }
  if (signal.aborted) return makeFailure('may-have-run', 504, 'deadline', `no answer from ${address} in time`)
  return makeFailure('may-have-run', 502, 'connection_lost', `connection to ${address} lost: ${describeError(error)}`)
}
