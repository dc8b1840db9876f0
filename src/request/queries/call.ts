/**
 * Reads a call from the head of an HTTP request, and refuses heads that two readers could understand differently.
 */
import type { IncomingMessage } from 'node:http'
import { v7 as makeUuid } from 'uuid'
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import { HEADERS, MAX_HOPS } from '../schema.js'
import type { Call } from '../schema.js'

export function readCall (message: IncomingMessage): Result<Call, Failure> {
  const service = readHeader(message, HEADERS.service) ?? readHeader(message, 'host')?.split(/[.:]/)[0]
  if (service === undefined || service === '') return Err(makeFailure('not-run', 400, 'no_service', `name the service by ${HEADERS.service} or Host`))
  const lengths = countHeader(message, 'content-length')
  const chunked = message.headers['transfer-encoding'] !== undefined
  if (lengths > 1 || (lengths === 1 && chunked)) return Err(makeFailure('not-run', 400, 'bad_length', 'conflicting body lengths'))
  const hops = Number(readHeader(message, HEADERS.hops) ?? 0)
  if (!(hops < MAX_HOPS)) return Err(makeFailure('not-run', 508, 'too_many_hops', `more than ${MAX_HOPS} calls in a chain`))
  const deadline = readHeader(message, HEADERS.deadline)
  const bodyBytes = lengths === 1 ? Number(message.headers['content-length']) : undefined
  return Ok({
    request: readHeader(message, HEADERS.request) ?? makeUuid(),
    service,
    caller: readHeader(message, HEADERS.caller),
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    hops,
    deadlineMs: deadline === undefined ? undefined : Number(deadline),
    key: readHeader(message, HEADERS.key),
    keyTime: readHeader(message, HEADERS.keyTime),
    bodyBytes,
    hasBody: chunked || (bodyBytes ?? 0) > 0
  })
}

function readHeader (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}

function countHeader (message: IncomingMessage, name: string): number {
  return message.rawHeaders.filter((header, index) => index % 2 === 0 && header.toLowerCase() === name).length
}
