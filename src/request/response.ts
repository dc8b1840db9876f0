/**
 * Writes the response to a request: the response of the target, or a failure with its verdict.
 */
import type { ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import type { Failure } from '../core/index.js'
import type { TargetResponse } from './httpclient.js'
import type { Headers } from './headers.js'
import { HEADERS } from './schema.js'

/** A failure as the response to a caller. */
export interface FormattedFailure { status: number, headers: Record<string, string | number>, body: string }

export function formatFailure (failure: Failure, request: string): { headers: Record<string, string | number>, body: string } {
  const body = JSON.stringify({ ...failure, request })
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADERS.verdict]: failure.verdict,
    [HEADERS.request]: request
  }
  if (failure.retryAfterMs !== undefined) headers['retry-after'] = Math.ceil(failure.retryAfterMs / 1000)
  if (failure.noRetry === true) headers[HEADERS.noRetry] = '1'
  return { headers, body }
}

export function writeFailure (response: ServerResponse, failure: Failure, request: string): void {
  writeFormattedFailure(response, { status: failure.status, ...formatFailure(failure, request) })
}

export function writeFormattedFailure (response: ServerResponse, { status, headers, body }: FormattedFailure): void {
  if (response.headersSent || response.destroyed) {
    resetConnection(response)
    return
  }
  response.writeHead(status, headers)
  response.end(body)
}

/** A 304 response has no body, even with a content-length; undici reports such a length as a truncated response. */
const NOT_MODIFIED = 304
const NO_CONTENT = 204

/** `cut`: the response of the target was truncated. `left`: the receiver disconnected before the end of the response. */
export type DeliveryOutcome = 'whole' | 'cut' | 'left'

/** A body up to this size is copied to send it in one write with the head. */
const MAX_COPIED_BYTES = 16 * 1024

/** Resets the connection after a truncated response, so that the receiver cannot take the response for complete. */
export async function writeResponse (response: ServerResponse, targetResponse: TargetResponse, headers: Headers): Promise<DeliveryOutcome> {
  const { body, statusCode, trailers } = targetResponse
  try {
    response.writeHead(statusCode, makeResponseHeaders(response, targetResponse, headers))
    if (!Buffer.isBuffer(body)) await forwardStream(response, body, targetResponse)
    if (response.hasHeader('trailer')) response.addTrailers(trailers)
    if (Buffer.isBuffer(body)) endWithBody(response, body)
    else response.end()
    await waitForFinish(response)
    return response.writableFinished ? 'whole' : 'left'
  } catch {
    const delivery = response.destroyed ? 'left' : 'cut'
    if (!Buffer.isBuffer(body)) body.destroy()
    resetConnection(response)
    return delivery
  }
}

/** Node.js joins the head and a string in one write, but writes a buffer separately. */
function endWithBody (response: ServerResponse, body: Buffer): void {
  if (body.length > MAX_COPIED_BYTES) response.end(body)
  else response.end(body.toString('latin1'), 'latin1')
}

async function forwardStream (response: ServerResponse, body: Readable, { statusCode, headers }: TargetResponse): Promise<void> {
  // The body may start long after the headers, so the headers are sent immediately.
  if (headers['content-length'] === undefined) response.flushHeaders()
  if (statusCode === NOT_MODIFIED) {
    body.on('error', () => {}).resume()
    return
  }
  for await (const chunk of body) {
    if (!response.write(chunk)) await waitForDrain(response)
    if (response.destroyed) throw new Error('the sender of the request disconnected')
  }
}

function makeResponseHeaders (response: ServerResponse, targetResponse: TargetResponse, filtered: Headers): Headers {
  const { body } = targetResponse
  const { trailer } = targetResponse.headers
  const isChunked = targetResponse.headers['transfer-encoding'] !== undefined && response.req.httpVersion === '1.1' && response.req.method !== 'HEAD'
  const hasTrailers = trailer !== undefined && isChunked
  if (hasTrailers) response.setHeader('trailer', trailer)
  // Only a chunked body can have trailers.
  const hasLength = Buffer.isBuffer(body) && hasBody(response, targetResponse) && !hasTrailers
  return hasLength ? { ...filtered, 'content-length': String(body.length) } : filtered
}

/** A response to HEAD and some statuses have no body, even with a content-length. */
function hasBody (response: ServerResponse, { statusCode }: TargetResponse): boolean {
  return response.req.method !== 'HEAD' && statusCode !== NO_CONTENT && statusCode !== NOT_MODIFIED
}

/** A plain close would make a close-delimited response look complete. */
function resetConnection (response: ServerResponse): void {
  response.socket?.resetAndDestroy()
  response.destroy()
}

async function waitForDrain (response: ServerResponse): Promise<void> {
  if (response.destroyed) return
  await new Promise<void>(resolve => {
    const wake = (): void => {
      response.off('drain', wake)
      response.off('close', wake)
      resolve()
    }
    response.on('drain', wake)
    response.on('close', wake)
  })
}

async function waitForFinish (response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.closed) return
  await new Promise<void>(resolve => {
    response.once('finish', resolve)
    response.once('close', resolve)
  })
}
