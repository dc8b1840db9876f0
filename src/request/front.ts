/**
 * Translates between HTTP and typed values: the headers of callers and targets, and the responses for failures. Decisions
 * use the typed values only, so that another protocol adapter can use the same code.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Failure, Result } from '../core/index.js'
import { formatFailure } from './response.js'
import type { FormattedFailure } from './response.js'
import type { ResponseHead } from './httpclient.js'
import { filterResponseHeaders, filterCallerHeaders } from './headers.js'
import type { Headers } from './headers.js'
import { readCall } from './queries/call.js'
import { HEADERS } from './schema.js'
import type { Call } from './schema.js'

/** Input for the headers that the target-side node sends to a target. `headers` are the headers that this node received. */
export interface TargetCall { headers: Headers, target: string, leftMs: number }

export abstract class ProtocolAdapter {
  abstract readCall (message: IncomingMessage): Result<Call, Failure>
  /**
   * Returns the headers of the request of the caller that are forwarded to the target-side node. Credentials are not among them if
   * accounts are in force, since the target must not see them.
   */
  abstract filterRequestHeaders (headers: IncomingHttpHeaders, hasAccounts: boolean): Headers
  abstract makeTargetHeaders (call: TargetCall): Headers
  /** Returns a failure when the response of a target reports that the request was not run, or belongs to another request; undefined otherwise. */
  abstract checkResponse (sent: Headers, head: ResponseHead): Failure | undefined
  /** Returns how long work takes on the machine of the target now, in percent of the usual time, if the response of the target says it. */
  readMachinePercent (_head: ResponseHead): number | undefined {
    return undefined
  }

  abstract formatFailure (failure: Failure, request: string): FormattedFailure
  /** Returns the headers of the response of a target that are forwarded to the caller. */
  abstract filterResponseHeaders (headers: IncomingHttpHeaders, request: string): Headers
}

/** Headers that nodes set for the target-side node, which removes them. */
const TARGET_SIDE_NODE_HEADERS = [
  HEADERS.target, HEADERS.routeClass, HEADERS.fingerprint, HEADERS.suspect, HEADERS.objective, HEADERS.repeat,
  HEADERS.repeatPercent, HEADERS.kind, HEADERS.spent
] as const

/** Uses the `x-comfreyspoke-` headers. */
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
