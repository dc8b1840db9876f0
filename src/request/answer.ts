/**
 * Answers to whoever sent the request: the target's whole answer, or a failure with its verdict.
 */
import type { ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import type { Failure } from '../core/index.js'
import type { Answer } from './exchange.js'
import { filterHeaders } from './headers.js'
import { HEADERS } from './schema.js'

export function writeFailure (response: ServerResponse, failure: Failure, request: string): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const body = JSON.stringify({ ...failure, request })
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADERS.verdict]: failure.verdict,
    [HEADERS.request]: request
  }
  if (failure.retryAfterMs !== undefined) headers['retry-after'] = Math.ceil(failure.retryAfterMs / 1000)
  response.writeHead(failure.status, headers)
  response.end(body)
}

/** A cut answer ends in a reset of the connection, so that no part of it can pass for the whole. */
export async function writeAnswer (response: ServerResponse, answer: Answer, request: string): Promise<boolean> {
  const headers = filterHeaders(answer.headers)
  // A target may pass on a failure of a call of its own; its verdict is not one on this call.
  delete headers[HEADERS.verdict]
  response.writeHead(answer.statusCode, { ...headers, [HEADERS.request]: request })
  try {
    await pipeline(answer.body, response)
    return true
  } catch {
    response.destroy()
    return false
  }
}
