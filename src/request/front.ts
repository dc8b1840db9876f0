/**
 * How callers and targets speak: which headers carry what, and how a failure is told. Decisions see
 * the typed values only, so another front can stand before the same path.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Failure, Result } from '../core/index.js'
import { formatFailure } from './response.js'
import type { TargetResponse } from './httpclient.js'
import { filterResponseHeaders, filterCallerHeaders } from './headers.js'
import type { Headers } from './headers.js'
import { readCall } from './queries/call.js'
import { HEADERS } from './schema.js'
import type { Call } from './schema.js'

/** What the last node tells a target. `headers` are those that it received. */
export interface TargetCall { headers: Headers, target: string, leftMs: number }

export interface FormattedFailure { status: number, headers: Record<string, string | number>, body: string }

export abstract class ProtocolAdapter {
  abstract readCall (message: IncomingMessage): Result<Call, Failure>
  /** Headers of the caller's request that go on to the node of the target's host. */
  abstract filterRequestHeaders (headers: IncomingHttpHeaders): Headers
  abstract makeTargetHeaders (call: TargetCall): Headers
  /** What a target's answer says against itself: not run, or not an answer to this request. Nothing when it stands. */
  abstract checkResponse (sent: Headers, answer: Pick<TargetResponse, 'statusCode' | 'headers'>): Failure | undefined
  abstract formatFailure (failure: Failure, request: string): FormattedFailure
  /** Headers of a target's answer as the caller gets them. */
  abstract filterResponseHeaders (headers: IncomingHttpHeaders, request: string): Headers
}

/** Headers that nodes set for the last node end there. */
const TARGET_SIDE_NODE_HEADERS = [HEADERS.target, HEADERS.routeClass, HEADERS.fingerprint, HEADERS.suspect, HEADERS.objective] as const

/** The project's own headers. */
export class NativeProtocolAdapter extends ProtocolAdapter {
  override readCall (message: IncomingMessage): Result<Call, Failure> {
    return readCall(message)
  }

  override filterRequestHeaders (headers: IncomingHttpHeaders): Headers {
    return filterCallerHeaders(headers)
  }

  override makeTargetHeaders ({ headers, leftMs }: TargetCall): Headers {
    const passed = { ...headers, [HEADERS.deadline]: String(leftMs) }
    for (const name of TARGET_SIDE_NODE_HEADERS) Reflect.deleteProperty(passed, name)
    return passed
  }

  override checkResponse (): undefined {
    return undefined
  }

  override formatFailure (failure: Failure, request: string): FormattedFailure {
    return { status: failure.status, ...formatFailure(failure, request) }
  }

  override filterResponseHeaders (headers: IncomingHttpHeaders, request: string): Headers {
    return filterResponseHeaders(headers, request)
  }
}
