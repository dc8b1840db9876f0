/**
 * Answers to whoever sent the request: the target's whole answer, or a failure with its verdict.
 */
import type { ServerResponse } from 'node:http'
import type { Failure } from '../core/index.js'
import type { TargetResponse } from './httpclient.js'
import type { FormattedFailure } from './front.js'
import type { Headers } from './headers.js'
import { HEADERS } from './schema.js'

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

/** Has no body, whatever its content-length says; undici reports such a length as a cut answer. */
const NOT_MODIFIED = 304
const NO_CONTENT = 204

/** `cut`: the target's answer ended early. `left`: its receiver did not wait for it. */
export type DeliveryOutcome = 'whole' | 'cut' | 'left'

/** A cut answer ends in a reset of the connection, so that no part of it can pass for the whole. */
export async function writeResponse (response: ServerResponse, answer: TargetResponse, headers: Headers): Promise<DeliveryOutcome> {
  try {
    response.writeHead(answer.statusCode, makeResponseHeaders(response, answer, headers))
    // An answer may begin long before its body: the sender learns of it at once.
    if (answer.bufferedBody === undefined && answer.headers['content-length'] === undefined) response.flushHeaders()
    if (answer.bufferedBody !== undefined) response.write(answer.bufferedBody)
    else if (answer.statusCode === NOT_MODIFIED) answer.body.on('error', () => {}).resume()
    else await forwardBody(response, answer)
    if (response.hasHeader('trailer')) response.addTrailers(answer.trailers)
    response.end()
    await waitForFinish(response)
    return response.writableFinished ? 'whole' : 'left'
  } catch {
    const delivery = response.destroyed ? 'left' : 'cut'
    answer.body.destroy()
    resetConnection(response)
    return delivery
  }
}

async function forwardBody (response: ServerResponse, { body }: TargetResponse): Promise<void> {
  for await (const chunk of body) {
    if (!response.write(chunk)) await waitForDrain(response)
    if (response.destroyed) throw new Error('the sender of the request is gone')
  }
}

function makeResponseHeaders (response: ServerResponse, answer: TargetResponse, filtered: Headers): Headers {
  const headers = answer.bufferedBody !== undefined && hasBody(response, answer) ? { ...filtered, 'content-length': String(answer.bufferedBody.length) } : filtered
  const { trailer } = answer.headers
  const isChunked = answer.headers['transfer-encoding'] !== undefined && response.req.httpVersion === '1.1' && response.req.method !== 'HEAD'
  if (trailer !== undefined && isChunked) response.setHeader('trailer', trailer)
  return headers
}

/** An answer to HEAD and some statuses have no body, whatever length they name. */
function hasBody (response: ServerResponse, { statusCode }: TargetResponse): boolean {
  return response.req.method !== 'HEAD' && statusCode !== NO_CONTENT && statusCode !== NOT_MODIFIED
}

/** A plain close would end an answer without a length as if it were whole. */
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
