/**
 * Reads a call from the head of an HTTP request, and rejects heads that two HTTP parsers could interpret differently.
 */
import type { IncomingMessage } from 'node:http'
import { v7 as makeUuid } from 'uuid'
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import { checkHead, hasBody, parseInteger } from '../headers.js'
import { HEADERS, MAX_HOPS } from '../schema.js'
import type { Call } from '../schema.js'

/** A target may resolve `..` after the node selected the route, and so serve a path that belongs to another route. */
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|%2f|\\|%5c|$)|(?:%2f|%5c|\\)(?:\.|%2e){1,2}/i

export function readCall (message: IncomingMessage): Result<Call, Failure> {
  const failure = checkHead(message)
  if (failure !== undefined) return Err(failure)
  const service = readHeader(message, HEADERS.service) ?? readHeader(message, 'host')?.split(/[.:]/)[0]
  if (service === undefined || service === '') return Err(makeFailure('not-run', 400, 'no_service', `the service is missing: set ${HEADERS.service} or Host`))
  const path = message.url ?? '/'
  if (DOT_SEGMENT.test(path.split('?')[0] ?? '')) return Err(makeFailure('not-run', 400, 'bad_path', 'the path contains dot segments'))
  const hops = parseInteger(message.headers[HEADERS.hops], 0)
  if (hops === 'bad') return Err(makeFailure('not-run', 400, 'bad_hops', `${HEADERS.hops} is not a non-negative integer`))
  if ((hops ?? 0) >= MAX_HOPS) return Err(makeFailure('not-run', 508, 'too_many_hops', `the call chain is longer than ${MAX_HOPS} calls`))
  const deadlineMs = parseInteger(message.headers[HEADERS.deadline], 1)
  if (deadlineMs === 'bad') return Err(makeFailure('not-run', 400, 'bad_deadline', `${HEADERS.deadline} is not a positive integer`))
  const length = message.headers['content-length']
  return Ok({
    request: readHeader(message, HEADERS.request) ?? makeUuid(),
    service,
    caller: readHeader(message, HEADERS.caller),
    method: message.method ?? 'GET',
    path,
    hops: hops ?? 0,
    deadlineMs,
    key: readHeader(message, HEADERS.key),
    noRetry: message.headers[HEADERS.noRetry] !== undefined,
    bodyBytes: length === undefined ? undefined : Number(length),
    hasBody: hasBody(message)
  })
}

function readHeader (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}
