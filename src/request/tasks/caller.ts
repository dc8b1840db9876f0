/**
 * Serves one request of a caller: resolves the route in one snapshot, then makes attempts until
 * a target responds or the failure is final.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { AccountTable, authorizeRequest } from '../../account/index.js'
import type { Credential } from '../../account/index.js'
import { Err, makeFailure } from '../../core/index.js'
import type { Failure, Random, Result } from '../../core/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { QuotaPolicy } from '../../quota/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import { checkHeadSize } from '../headers.js'
import { writeResponse, writeFormattedFailure } from '../response.js'
import { SuspectCall } from '../commands/suspect.js'
import type { SuspectTable } from '../../suspect/index.js'
import type { DeliveryOutcome } from '../response.js'
import { RequestBody } from '../body.js'
import { resolveRoute } from '../queries/route.js'
import type { Call } from '../schema.js'
import { RequestScope } from '../scope.js'
import { Attempts } from './attempts.js'
import type { AttemptsContext } from './attempts.js'
import type { AttemptResponse } from './attempt.js'

export interface CallerContext extends AttemptsContext {
  random: Random
  metrics: Metrics
  suspects: SuspectTable
  getSnapshot: () => Snapshot
  /** The accounts of the version in force. Absent: callers need no keys. */
  getAccounts?: () => AccountTable
  /** Absent: no account has a limit. */
  quota?: QuotaPolicy
  isReady: () => boolean
  /** True if a peer has a newer configuration than this node. */
  isOutdated?: () => boolean
  /**
   * Time until this node stops, defined once callers have had time to notice that it is stopping. A request that may take
   * longer is rejected.
   */
  getTimeToShutdownMs?: () => number | undefined
  /** The size of a request head that the configuration in force allows. */
  getMaxHeadBytes?: () => number | undefined
  /** Request bodies up to this size are buffered before a target is picked. Without a value, only bodies with a short content-length are. */
  requestBufferBytes?: number
  onFailure: (call: Call, failure: Failure) => void
  /** Called for a request that is rejected by its head alone. */
  onRejected?: (failure: Failure) => void
}

const RETRY_AFTER_MS = 200
/** Applies while no configuration sets a limit. */
const DEFAULT_HEAD_BYTES = 16 * 1024

const NO_ACCOUNTS = new AccountTable(false)
const NO_CREDENTIAL: Credential = { kind: 'none' }

export async function serveCaller (context: CallerContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = new RequestBody(message, response)
  const call = readCall(context, message)
  if (call.err) {
    rejectCall(context, response, call.val)
  } else {
    const result = await runCall(context, call.val, body, message, response)
    if (result.err) rejectCall(context, response, result.val, call.val)
    else await respondToCall(context, response, result.val, call.val)
  }
  body.discardRest()
}

function readCall ({ inbound, getMaxHeadBytes }: CallerContext, message: IncomingMessage): Result<Call, Failure> {
  const failure = checkHeadSize(message, getMaxHeadBytes?.() ?? DEFAULT_HEAD_BYTES)
  return failure === undefined ? inbound.adapter.readCall(message) : Err(failure)
}

async function respondToCall (
  context: CallerContext, response: ServerResponse, { targetResponse, finish }: AttemptResponse, call: Call
): Promise<void> {
  const delivery = await writeResponse(response, targetResponse, context.inbound.adapter.filterResponseHeaders(targetResponse.headers, call.request))
  finish(delivery)
  context.metrics.count('calls_total', { service: call.service, verdict: VERDICT_LABELS[delivery] })
  if (delivery === 'cut') context.onFailure(call, makeFailure('may-have-run', 502, 'answer_cut', 'the response ended early; the connection to the caller was reset'))
}

const VERDICT_LABELS: Record<DeliveryOutcome, string> = { whole: 'ran', cut: 'cut', left: 'left' }

function rejectCall (context: CallerContext, response: ServerResponse, failure: Failure, call?: Call): void {
  context.metrics.count('calls_total', { service: call?.service ?? 'unknown', verdict: failure.verdict })
  if (call === undefined) context.onRejected?.(failure)
  else context.onFailure(call, failure)
  writeFormattedFailure(response, context.inbound.adapter.formatFailure(failure, call?.request ?? ''))
}

/** The newer configuration may allow the request, and callers do not repeat a request that is called wrong. */
function makeOutdatedFailure ({ message }: Failure): Failure {
  return makeFailure('not-run', 503, 'outdated', `${message} in the configuration of this node, and a peer has a newer one`, RETRY_AFTER_MS)
}

function makeUnreadBodyFailure (context: CallerContext, body: RequestBody, limitBytes: number): Failure {
  if (!body.isAboveLimit) return makeFailure('not-run', 504, 'deadline', 'the request body did not arrive before the deadline')
  const failure = makeFailure('not-run', 413, 'body_too_large', `the body exceeds ${limitBytes} bytes`)
  return context.isOutdated?.() === true ? makeOutdatedFailure(failure) : failure
}

async function runCall (
  context: CallerContext, call: Call, body: RequestBody, message: IncomingMessage, response: ServerResponse
): Promise<Result<AttemptResponse, Failure>> {
  if (!context.isReady()) return Err(makeFailure('not-run', 503, 'not_ready', 'this node has no configuration yet', RETRY_AFTER_MS))
  const resolved = resolveRoute(context.getSnapshot(), call, context.random)
  if (resolved.err) return Err(context.isOutdated?.() === true ? makeOutdatedFailure(resolved.val) : resolved.val)
  const { route, service } = resolved.val
  body.setLimit(route.maxBodyBytes)
  if (context.requestBufferBytes !== undefined) body.bufferUpTo(context.requestBufferBytes)
  const deadlineMs = Math.min(route.deadlineMs, call.deadlineMs ?? route.deadlineMs)
  if (deadlineMs > (context.getTimeToShutdownMs?.() ?? Infinity)) return Err(makeFailure('not-run', 503, 'stopping', 'this node stops before the deadline of the request', RETRY_AFTER_MS))
  const scope = new RequestScope(context.clock, deadlineMs, response)
  await scope.awaitPendingClose()
  const accounts = context.getAccounts?.() ?? NO_ACCOUNTS
  const { credential = NO_CREDENTIAL } = call
  const { repeats } = context.inbound
  const authorized = authorizeRequest(accounts, { credential, route, isOfRun: repeats.matchesRun(call.deadlineMs) })
  if (authorized.err) {
    scope.end()
    return Err(context.isOutdated?.() === true ? makeOutdatedFailure(authorized.val) : authorized.val)
  }
  // Targets have no keys, so no run on this host has made a request with one.
  const { isOfRun, repeatShare } = repeats.recordCall(service, authorized.val === undefined ? call.deadlineMs : Infinity)
  const isLimited = context.quota !== undefined && authorized.val !== undefined
  // A request that is refused for its account gives the service no retries.
  if (!isLimited) context.retry.countCall(service, isOfRun)
  const run = async (): Promise<Result<AttemptResponse, Failure>> => {
    const suspect = new SuspectCall(context.suspects, call, body.prefix)
    const headers = context.inbound.adapter.filterRequestHeaders(message.headers, accounts.isInForce)
    const account = authorized.val
    const attempts = new Attempts(context, { call, resolved: resolved.val, headers, body, scope, suspect, repeatShare, account })
    if (context.quota === undefined || account === undefined) return await attempts.run()
    const credit = await context.quota.acquire(account)
    if (credit.err) {
      scope.end()
      return Err(credit.val)
    }
    context.retry.countCall(service, isOfRun)
    const result = await attempts.run()
    if (!attempts.hasReachedTarget) credit.val.returnUnused()
    return result
  }
  if (call.hasBody && !(await body.bufferShortBody(scope.signal) && await body.readPrefix(scope.signal))) {
    scope.end()
    return Err(makeUnreadBodyFailure(context, body, route.maxBodyBytes))
  }
  return await run()
}
