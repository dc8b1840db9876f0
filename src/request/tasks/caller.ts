/**
 * Serves one request of a caller: resolves the route in one snapshot, then makes attempts until
 * a target responds or the failure is final.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Account } from '../../account/index.js'
import { Err, makeFailure } from '../../core/index.js'
import type { Failure, Random, Result } from '../../core/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { QuotaPolicy } from '../../quota/index.js'
import type { RolloutGuard } from '../../rollout/index.js'
import { checkHeadSize } from '../headers.js'
import { writeResponse, writeFormattedFailure } from '../response.js'
import { admitCall } from '../commands/enter.js'
import { SuspectCall } from '../commands/suspect.js'
import type { SuspectTable } from '../../suspect/index.js'
import type { DeliveryOutcome } from '../response.js'
import { RequestBody } from '../body.js'
import { checkShutdown, computeDeadline, decideAccess, decideRoute, getAccountTable, makeOutdatedFailure } from '../queries/decision.js'
import type { DecisionContext } from '../queries/decision.js'
import type { Call } from '../schema.js'
import { RequestScope } from '../scope.js'
import { Attempts } from './attempts.js'
import type { AttemptsContext } from './attempts.js'
import type { AttemptResponse } from './attempt.js'
import type { InboundContext } from './inbound.js'

export interface CallerContext extends AttemptsContext, DecisionContext {
  random: Random
  inbound: InboundContext
  metrics: Metrics
  suspects: SuspectTable
  /** Absent where there are no rollouts. */
  rollouts?: RolloutGuard
  /** Absent: no account has a limit. */
  quota?: QuotaPolicy
  /** The size of a request head that the configuration in force allows. */
  getMaxHeadBytes?: () => number | undefined
  /** Request bodies up to this size are buffered before a target is picked. Without a value, only bodies with a short content-length are. */
  requestBufferBytes?: number
  onFailure: (call: Call, failure: Failure) => void
  /** Called for a request that is rejected by its head alone. */
  onRejected?: (failure: Failure) => void
}

/** Applies while no configuration sets a limit. */
const DEFAULT_HEAD_BYTES = 16 * 1024

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

function makeUnreadBodyFailure (context: CallerContext, body: RequestBody, limitBytes: number): Failure {
  if (!body.isAboveLimit) return makeFailure('not-run', 504, 'deadline', 'the request body did not arrive before the deadline')
  const failure = makeFailure('not-run', 413, 'body_too_large', `the body exceeds ${limitBytes} bytes`)
  return context.isOutdated?.() === true ? makeOutdatedFailure(failure) : failure
}

async function runCall (
  context: CallerContext, call: Call, body: RequestBody, message: IncomingMessage, response: ServerResponse
): Promise<Result<AttemptResponse, Failure>> {
  const resolved = decideRoute(context, call)
  if (resolved.err) return resolved
  const { route, service } = resolved.val
  body.setLimit(route.maxBodyBytes)
  if (context.requestBufferBytes !== undefined) body.bufferUpTo(context.requestBufferBytes)
  const deadlineMs = computeDeadline(route, call)
  const stopping = checkShutdown(context, deadlineMs)
  if (stopping !== undefined) return Err(stopping)
  const scope = new RequestScope(context.clock, deadlineMs, response)
  await scope.awaitPendingClose()
  const { repeats } = context.inbound
  const accounts = getAccountTable(context)
  const authorized = decideAccess(context, accounts, call, route)
  if (authorized.err) {
    scope.end()
    return authorized
  }
  // Targets have no keys, so no run on this host has made a request with one.
  const { isOfRun, repeatShare } = repeats.recordCall(service, authorized.val === undefined ? call.deadlineMs : Infinity)
  const countCall = (): void => { context.retry.countCall(service, isOfRun) }
  const isLimited = context.quota !== undefined && authorized.val !== undefined
  // A request that is refused for its quota adds nothing to the retry budget.
  if (!isLimited) countCall()
  const rollout = context.rollouts?.beginCall(service, resolved.val.targets)
  // Without accounts, a request without a key may be one of a caller on this host.
  const isNested = accounts.isInForce && authorized.val === undefined && route.public !== true
  const spentMs = isNested ? repeats.computeSpent(service, call.deadlineMs) : undefined
  if (call.hasBody && !(await body.bufferShortBody(scope.signal) && await body.readPrefix(scope.signal))) {
    scope.end()
    return Err(makeUnreadBodyFailure(context, body, route.maxBodyBytes))
  }
  const account = authorized.val
  const suspect = new SuspectCall(context.suspects, call, body.prefix)
  const headers = context.inbound.adapter.filterRequestHeaders(message.headers, accounts.isInForce)
  const attempts = new Attempts(context, { call, resolved: resolved.val, headers, body, scope, suspect, repeatShare, account, rollout, spentMs })
  const routeClass = account?.class ?? route.class
  const entering = {
    service, group: isNested ? 'nested' as const : routeClass, objectiveMs: route.objectiveMs ?? 0, isCallerDisconnected: () => scope.isCallerDisconnected
  }
  const result = await runWithCredit(context, account, attempts, async () => {
    if (isLimited) countCall()
    return await admitCall(context, entering, async () => await attempts.run())
  })
  if (result.err && result.val.verdict === 'not-run') context.metrics.count('refusals_total', { code: result.val.code, class: routeClass })
  return result
}

/** A call that counts for an account with a limit uses one credit, which is returned if no target was reached. */
async function runWithCredit (
  { quota }: CallerContext, account: Account | undefined, attempts: Attempts, run: () => Promise<Result<AttemptResponse, Failure>>
): Promise<Result<AttemptResponse, Failure>> {
  if (quota === undefined || account === undefined) return await run()
  const credit = await quota.acquire(account)
  if (credit.err) return credit
  const result = await run()
  if (!attempts.hasReachedTarget) credit.val.returnUnused()
  return result
}
