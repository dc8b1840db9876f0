/**
 * What the request path needs of an HTTP client: one exchange with a target or another node, with a verdict on every failure.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { Failure, Result } from '../core/index.js'
import type { Headers } from './headers.js'

export interface ResponseHead { statusCode: number, headers: IncomingHttpHeaders }

/**
 * A body that is a buffer is complete. A stream ends in an error when the response is truncated; the trailers are set at the end of
 * the body.
 */
export interface TargetResponse extends ResponseHead { body: Readable | Buffer, trailers: Record<string, string> }

export interface OutgoingRequest {
  /** `ip:port`. */
  address: string
  method: string
  path: string
  headers: Headers
  body: Readable | Buffer | undefined
  signal: AbortSignal
  /** Responses up to this size are returned when they are complete, longer ones as a stream. Without it, all are streams. */
  bufferBytes?: number
  /** Returns the failure of an exchange whose response must not be used. */
  checkHead?: (head: ResponseHead) => Failure | undefined
}

export abstract class HttpClient {
  abstract send (outgoing: OutgoingRequest): Promise<Result<TargetResponse, Failure>>
  abstract close (): Promise<void>
}
