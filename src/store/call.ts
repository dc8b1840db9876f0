/**
 * One HTTP exchange with the platform, with a time limit.
 */
import { request } from 'undici'
import type { Agent } from 'undici'
import { Err, Ok, describeError } from '../core/index.js'
import type { Result } from '../core/index.js'
import type { StoreFault } from './schema.js'

export interface Connection { origin: string, agent: Agent, timeoutMs: number }

export interface Answer { status: number, body: unknown }

/** Errors that show that no connection was made, so the call was not carried out. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

export async function exchange (
  connection: Connection, method: 'GET' | 'PUT' | 'DELETE', path: string, body?: unknown
): Promise<Result<Answer, StoreFault>> {
  try {
    const answer = await request(`${connection.origin}${path}`, {
      method,
      dispatcher: connection.agent,
      signal: AbortSignal.timeout(connection.timeoutMs),
      ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    })
    return Ok({ status: answer.statusCode, body: await answer.body.json() })
  } catch (error) {
    return Err(convertError(error))
  }
}

export function convertError (error: unknown): StoreFault {
  const code = (error as { code?: unknown }).code
  const sent = typeof code !== 'string' || !NOT_SENT_CODES.has(code)
  return { code: sent ? 'unknown' : 'unreachable', message: `platform: ${describeError(error)}` }
}

/** Statuses that show that the platform refused the call. */
const FAULT_CODES: Record<number, StoreFault['code']> = { 409: 'conflict', 410: 'too-old', 413: 'too-large', 429: 'throttled' }

/** A status of 500 or above does not say whether a write took effect, so it counts as no answer. */
export function convertStatus (answer: Answer): StoreFault {
  const body = answer.body as { message?: string, version?: number }
  const fault: StoreFault = { code: FAULT_CODES[answer.status] ?? (answer.status >= 500 ? 'unknown' : 'invalid'), message: body?.message ?? `platform answered ${answer.status}` }
  return body?.version === undefined ? fault : { ...fault, version: body.version }
}
