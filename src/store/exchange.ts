/**
 * One HTTP exchange with the platform, with a time limit.
 */
import { Err, Ok, describeError, readWholeText } from '../core/index.js'
import type { Result } from '../core/index.js'
import type { Pool } from '../core/undici.js'
import type { StoreFault } from './schema.js'

export interface StoreConnection { pool: Pool, timeoutMs: number }

export interface StoreResponse { status: number, body: unknown }

/** Lists have no pages, so a response has all objects of a kind. */
export const MAX_RESPONSE_BYTES = 64 * 1024 * 1024

/** Error codes that show that no connection was made, so the platform did not receive the request. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

export async function exchange (
  connection: StoreConnection, method: 'GET' | 'PUT' | 'DELETE', path: string, body?: unknown
): Promise<Result<StoreResponse, StoreFault>> {
  try {
    const response = await connection.pool.request({
      method,
      path,
      signal: AbortSignal.timeout(connection.timeoutMs),
      ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    })
    const text = await readWholeText(response.body, MAX_RESPONSE_BYTES)
    if (text === undefined) return Err({ code: 'unknown', message: `the response of the platform is longer than ${MAX_RESPONSE_BYTES} bytes` })
    return Ok({ status: response.statusCode, body: JSON.parse(text) })
  } catch (error) {
    return Err(convertErrorToFault(error))
  }
}

export function convertErrorToFault (error: unknown): StoreFault {
  const code = (error as { code?: unknown }).code
  const sent = typeof code !== 'string' || !NOT_SENT_CODES.has(code)
  return { code: sent ? 'unknown' : 'unreachable', message: `platform: ${describeError(error)}` }
}

/** Statuses with which the platform rejects a request. */
const FAULT_CODES_BY_STATUS: Record<number, StoreFault['code']> = { 409: 'conflict', 410: 'too-old', 413: 'too-large', 429: 'throttled' }

/** A status of 500 or above does not show whether a write took effect, so it is treated like a missing response. */
export function convertResponseToFault (response: StoreResponse): StoreFault {
  const body = response.body as { message?: string, version?: number }
  const fault: StoreFault = { code: FAULT_CODES_BY_STATUS[response.status] ?? (response.status >= 500 ? 'unknown' : 'invalid'), message: body?.message ?? `platform responded with status ${response.status}` }
  return body?.version === undefined ? fault : { ...fault, version: body.version }
}
