/**
 * The task of one request that another node sent for a target of this host.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { finished } from 'node:stream'
import { Err, makeFailure } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { RouteClass } from '../../document/index.js'
import { writeResponse, writeFailure } from '../response.js'
import type { ProtocolAdapter } from '../front.js'
import { bufferResponse } from '../responsebuffer.js'
import { formatLoad } from '../load.js'
import { RequestBody } from '../body.js'
import type { SuspectTable } from '../../suspect/index.js'
import { TARGET_CRASHED } from '../commands/crash.js'
import type { CrashTracker, InFlightRequest } from '../commands/crash.js'
import { receiveFingerprint } from '../commands/suspect.js'
import type { LocalTargets } from '../commands/admit.js'
import type { TargetResponse, HttpClient, OutgoingRequest } from '../httpclient.js'
import { filterResponseHeaders } from '../headers.js'
import type { Headers } from '../headers.js'
import { readInboundRequest } from '../queries/inbound.js'
import type { InboundRequest } from '../queries/inbound.js'
import { RequestScope } from '../scope.js'
import type { Permit } from '../slots.js'
import { HEADERS } from '../schema.js'

export interface LocalRequest {
  target: string
  routeClass: RouteClass
  attempt: number
  /** Time left in which an answer is of full use. */
  objectiveMs: number | undefined
  scope: RequestScope
  outgoing: Omit<OutgoingRequest, 'address' | 'body' | 'signal'>
  body: RequestBody | undefined
}

export interface InboundContext {
  local: LocalTargets
  client: HttpClient
  clock: Clock
  crashes: CrashTracker
  suspects: SuspectTable
  adapter: ProtocolAdapter
  /** Answers up to so many bytes are passed on only when they are whole. */
  responseBufferBytes: number
}

export interface LocalResponse { targetResponse: TargetResponse, permit: Permit }

const SHED_CODES = new Set(['queue_full', 'shed'])

/** Runs a request on a target of this host. The permit is to be released when the answer has been passed on or cut. */
export async function runLocal (context: InboundContext, localRequest: LocalRequest): Promise<Result<LocalResponse, Failure>> {
  const { local, client: exchanger, crashes, suspects, adapter: front } = context
  const { target, routeClass, attempt, scope, outgoing, body } = localRequest
  const { signal } = scope
  if (body !== undefined && !await body.bufferShortBody(signal)) return Err(makeFailure('not-run', 504, 'deadline', 'the body did not come in time'))
  const admitted = await local.admit({ target, routeClass, leftMs: Math.max(0, scope.leftMs), objectiveMs: localRequest.objectiveMs, signal })
  if (admitted.err) return admitted.mapErr(failure => markNoRetry(failure, attempt))
  const { announcement, permit } = admitted.val
  if (signal.aborted) {
    permit.release()
    return Err(makeFailure('not-run', 504, 'deadline_in_queue', 'the deadline passed before the request was sent'))
  }
  const tracked = crashes.beginRequest(target, receiveFingerprint(suspects, outgoing.headers))
  if (tracked.err) {
    permit.release()
    return tracked
  }
  const headers = front.makeTargetHeaders({ headers: outgoing.headers, target, leftMs: scope.forwardedDeadlineMs })
  const received = await exchanger.send({ ...outgoing, headers, address: announcement.address, body: body?.open(), signal })
  const checked = received.ok ? await checkResponse(context, headers, received.val) : received
  if (checked.ok) {
    watchResponse(checked.val, tracked.val, announcement.address)
    // The target is done with its last byte, which may be long before a slow caller has taken it.
    if (checked.val.bufferedBody === undefined) checked.val.body.once('end', permit.release)
    else permit.release()
    return checked.map(answer => ({ targetResponse: answer, permit }))
  }
  permit.release()
  return Err(await checkCrash(checked.val, tracked.val, localRequest.target, announcement.address))
}

/** An answer that the front refuses ends its connection, since more of the same may follow on it. */
async function checkResponse (
  { adapter: front, responseBufferBytes: holdBytes }: InboundContext, sent: Headers, answer: TargetResponse
): Promise<Result<TargetResponse, Failure>> {
  const failure = front.checkResponse(sent, answer)
  if (failure === undefined) return await bufferResponse(answer, holdBytes)
  if (failure.verdict === 'not-run') answer.body.resume()
  else answer.body.destroy()
  return Err(failure)
}

/** A target can crash in the middle of its answer. */
function watchResponse ({ body, bufferedBody: kept }: TargetResponse, run: InFlightRequest, address: string): void {
  if (kept !== undefined) {
    run.finish()
    return
  }
  finished(body, error => {
    if (error === undefined || error === null) run.finish()
    else void run.fail(address)
  })
}

async function checkCrash (failure: Failure, run: InFlightRequest, target: string, address: string): Promise<Failure> {
  if (failure.verdict === 'not-run') {
    run.discard()
    return failure
  }
  const isCrashed = await run.fail(address)
  return isCrashed ? { ...failure, code: TARGET_CRASHED, message: `target ${target} crashed with the request in flight` } : failure
}

/** A retry that finds a full queue again is told to stop: more of them would keep the queue full. */
function markNoRetry (failure: Failure, attempt: number): Failure {
  return attempt > 1 && SHED_CODES.has(failure.code) ? { ...failure, noRetry: true } : failure
}

export async function serveInbound (context: InboundContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  const inbound = readInboundRequest(message)
  const body = new RequestBody(message, response)
  if (inbound.err) writeFailure(response, inbound.val, '')
  else await forwardInbound(context, inbound.val, body, response)
  body.discardRest()
}

async function forwardInbound (context: InboundContext, inbound: InboundRequest, body: RequestBody, response: ServerResponse): Promise<void> {
  const scope = new RequestScope(context.clock, inbound.deadlineMs, response)
  const { request, target, routeClass, attempt, objectiveMs, method, path, headers } = inbound
  const outgoing = { method, path, headers }
  try {
    await scope.awaitPendingClose()
    const result = await runLocal(context, { target, routeClass, attempt, objectiveMs, scope, outgoing, body: inbound.hasBody ? body : undefined })
    if (result.err) {
      response.setHeader(HEADERS.load, formatLoad(context.local.measureLoad(target)))
      writeFailure(response, result.val, request)
      return
    }
    response.setHeader(HEADERS.load, formatLoad(context.local.measureLoad(target)))
    await writeResponse(response, result.val.targetResponse, filterResponseHeaders(result.val.targetResponse.headers, request))
    result.val.permit.release()
  } finally {
    scope.end()
  }
}
