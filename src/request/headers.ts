/**
 * Selects the headers that are forwarded, and rejects request heads that two parsers could interpret differently
 * (request smuggling).
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import { makeFailure } from '../core/index.js'
import type { Failure } from '../core/index.js'
import { HEADERS } from './schema.js'

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Headers that nodes set for other nodes. Values that a caller sent are removed, since the target-side node acts on them. */
const INTERNAL_HEADERS: readonly string[] = [
  HEADERS.attempt, HEADERS.target, HEADERS.routeClass, HEADERS.verdict, HEADERS.noRetry, HEADERS.fingerprint, HEADERS.suspect, HEADERS.load,
  HEADERS.objective, HEADERS.repeat, HEADERS.repeatPercent, HEADERS.account, HEADERS.kind, HEADERS.spent
]

/** A repetition of these headers could be interpreted in two ways. Node.js silently joins or discards repeated headers. */
export const FRAMING_HEADERS: ReadonlySet<string> = new Set(['host', 'content-length', 'transfer-encoding'])
const SINGLE_VALUED_HEADERS: ReadonlySet<string> = new Set([
  ...FRAMING_HEADERS, HEADERS.key, HEADERS.service, HEADERS.deadline, HEADERS.hops, HEADERS.target
])

const INTEGER = /^[0-9]{1,15}$/

export type Headers = Record<string, string | string[]>

/** Also removes the headers that `connection` lists. */
export function removeHopByHopHeaders (headers: IncomingHttpHeaders): Headers {
  const connectionOptions = headers.connection === undefined ? [] : headers.connection.toLowerCase().split(',').map(name => name.trim())
  const passed: Headers = {}
  for (const name in headers) {
    const value = headers[name]
    if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.includes(name)) passed[name] = value
  }
  return passed
}

/** Filters the headers of a request of a caller; the node adds its own internal headers afterwards. */
export function filterCallerHeaders (headers: IncomingHttpHeaders): Headers {
  const passed = removeHopByHopHeaders(headers)
  for (const name of INTERNAL_HEADERS) Reflect.deleteProperty(passed, name)
  return passed
}

/**
 * Filters the headers of the response of a target, between nodes and to callers. A target may forward the failure of a call
 * that it made itself; the verdict of that failure does not apply to this call.
 */
export function filterResponseHeaders (headers: IncomingHttpHeaders, request: string): Headers {
  const passed = removeHopByHopHeaders(headers)
  Reflect.deleteProperty(passed, HEADERS.verdict)
  Reflect.deleteProperty(passed, HEADERS.load)
  Reflect.deleteProperty(passed, HEADERS.runTime)
  passed[HEADERS.request] = request
  return passed
}

/** The separators between the parts of a head are not counted. */
export function checkHeadSize ({ url = '', rawHeaders }: IncomingMessage, limitBytes: number): Failure | undefined {
  const bytes = rawHeaders.reduce((sum, part) => sum + part.length, url.length)
  return bytes <= limitBytes ? undefined : makeFailure('not-run', 431, 'head_too_large', `the request head exceeds ${limitBytes} bytes`)
}

export function checkHead (message: IncomingMessage, singleValued = SINGLE_VALUED_HEADERS): Failure | undefined {
  const seen = new Set<string>()
  for (let index = 0; index < message.rawHeaders.length; index += 2) {
    const name = (message.rawHeaders[index] ?? '').toLowerCase()
    if (!singleValued.has(name)) continue
    if (seen.has(name)) return makeFailure('not-run', 400, 'repeated_header', `header ${name} is repeated`)
    seen.add(name)
  }
  return checkFraming(message, seen)
}

function checkFraming ({ headers, httpVersion }: IncomingMessage, seen: ReadonlySet<string>): Failure | undefined {
  const coding = headers['transfer-encoding']
  if (coding === undefined) {
    const length = headers['content-length']
    return length === undefined || INTEGER.test(length) ? undefined : makeFailure('not-run', 400, 'bad_length', 'content-length is not a number')
  }
  if (seen.has('content-length')) return makeFailure('not-run', 400, 'bad_length', 'content-length together with transfer-encoding')
  // Another coding would have to be forwarded with its header, which is a hop-by-hop header.
  if (coding.toLowerCase() !== 'chunked' || httpVersion !== '1.1') return makeFailure('not-run', 400, 'bad_length', `transfer-encoding ${coding} is not supported`)
  return undefined
}

/** Returns undefined for an absent header, and `bad` for a value that is not an integer of at least `minimum`. */
export function parseInteger (value: string | string[] | undefined, minimum: number): number | undefined | 'bad' {
  if (value === undefined) return undefined
  if (typeof value !== 'string' || !INTEGER.test(value) || Number(value) < minimum) return 'bad'
  return Number(value)
}

export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
