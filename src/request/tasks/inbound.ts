/**
 * Serves one request that another node sent for a target of this host.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { finished } from 'node:stream'
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { RouteClass } from '../../document/index.js'
import { writeResponse, writeFailure } from '../response.js'
import type { ProtocolAdapter } from '../front.js'
import type { RolloutGuard } from '../../rollout/index.js'
import type { EntryPolicy } from '../entry.js'
import { formatLoad } from '../load.js'
import type { TargetLoad } from '../load.js'
import { RequestBody } from '../body.js'
import type { SuspectTable } from '../../suspect/index.js'
import { TARGET_CRASHED } from '../commands/crash.js'
import type { CrashTracker, InFlightRequest } from '../commands/crash.js'
import { receiveFingerprint } from '../commands/suspect.js'
import type { LocalTargets } from '../commands/admit.js'
import type { TargetResponse, HttpClient, OutgoingRequest } from '../httpclient.js'
import { filterResponseHeaders } from '../headers.js'
import { readInboundRequest } from '../queries/inbound.js'
import type { InboundRequest } from '../queries/inbound.js'
import { RequestScope } from '../scope.js'
import type { RepeatMeter } from '../repeats.js'
import type { RetryPolicy } from '../retry.js'
import type { Permit } from '../slots.js'
import { makeNeed } from '../workcontrol.js'
import type { RequestNeed } from '../workcontrol.js'
import { HEADERS } from '../schema.js'
import type { RunOrigin } from '../schema.js'

export interface LocalRequest {
  service: string
  target: string
  routeClass: RouteClass
  attempt: number
  origin: RunOrigin
  /** Time left until the latency objective of the route passes. */
  objectiveMs: number | undefined
  /** Absent if nothing is decided by it. */
  need?: RequestNeed | undefined
  scope: RequestScope
  outgoing: Pick<OutgoingRequest, 'method' | 'path' | 'headers'>
  body: RequestBody | undefined
}

export interface InboundContext {
  local: LocalTargets
  client: HttpClient
  clock: Clock
  crashes: CrashTracker
  suspects: SuspectTable
  repeats: RepeatMeter
  retry: RetryPolicy
  /** Absent: no run is refused for the calls that it makes. */
  entry?: EntryPolicy | undefined
  adapter: ProtocolAdapter
  /** Absent where there are no rollouts. */
  rollouts?: RolloutGuard
  /** Responses up to this size are buffered and forwarded only when they are complete. */
  responseBufferBytes: number
}

/** `runMs` is the time from the slot to the response. */
export interface LocalResponse { targetResponse: TargetResponse, permit: Permit, runMs: number }

const RETRY_AFTER_MS = 200
const FIRST_SERVER_ERROR_STATUS = 500
/** Other targets of the service make the same calls. */
export const NESTED_NO_ROOM = 'nested_no_room'
const SHED_CODES = new Set(['queue_full', 'shed'])

/** Runs a request on a target of this host. The permit must be released after the response has been forwarded or truncated. */
export async function runLocal (context: InboundContext, localRequest: LocalRequest): Promise<Result<LocalResponse, Failure>> {
  const { body, scope: { signal } } = localRequest
  if (body !== undefined && !await body.bufferShortBody(signal)) return Err(makeFailure('not-run', 504, 'deadline', 'the request body did not arrive before the deadline'))
  const admitted = await admitRun(context, localRequest)
  return admitted.ok ? await sendRun(context, localRequest, admitted.val) : admitted
}

/** A request that may be sent to its target. */
interface AdmittedRun { address: string, permit: Permit, inFlight: InFlightRequest }

/** Waits for a slot. No byte of the request has been sent to the target when it is rejected here. */
async function admitRun (context: InboundContext, localRequest: LocalRequest): Promise<Result<AdmittedRun, Failure>> {
  const { target, routeClass, attempt, objectiveMs, need, origin, scope, outgoing } = localRequest
  const { signal } = scope
  if ((need?.spentMs ?? 0) === 0 && context.entry?.isRunRefused(context.repeats.listExpectedCalls(getRunKind(localRequest))) === true) {
    return Err(makeFailure('not-run', 503, NESTED_NO_ROOM, 'the services that the target calls have no room', RETRY_AFTER_MS))
  }
  const admitted = await context.local.admit({ target, routeClass, leftMs: Math.max(0, scope.leftMs), objectiveMs, need, signal })
  if (admitted.err) return admitted.mapErr(failure => markNoRetry(failure, attempt))
  const { announcement: { address }, permit } = admitted.val
  if (signal.aborted) {
    permit.release()
    return Err(makeFailure('not-run', 504, 'deadline_in_queue', 'the deadline passed before the request was sent'))
  }
  const inFlight = context.crashes.beginRequest(target, receiveFingerprint(context.suspects, outgoing.headers))
  if (inFlight.err) {
    permit.release()
    return inFlight
  }
  const endRun = context.retry.admitRun(origin, origin.repeatShare > 0 ? context.repeats.listExpectedCalls(getRunKind(localRequest)) : [])
  if (endRun === undefined) {
    inFlight.val.discard()
    permit.release()
    return Err(makeFailure('not-run', 503, 'retry_budget', 'the retry budgets of the services that the target calls are used up', RETRY_AFTER_MS))
  }
  return Ok({ address, permit: makeRunPermit(permit, endRun), inFlight: inFlight.val })
}

async function sendRun (
  context: InboundContext, localRequest: LocalRequest, { address, permit, inFlight }: AdmittedRun
): Promise<Result<LocalResponse, Failure>> {
  const { client, repeats, adapter, responseBufferBytes } = context
  const { service, target, origin, scope, outgoing, body } = localRequest
  const leftMs = scope.forwardedDeadlineMs
  const headers = adapter.makeTargetHeaders({ headers: outgoing.headers, target, leftMs })
  const runPermit = makeRunPermit(permit, repeats.beginRun(getRunKind(localRequest), origin, leftMs))
  const startedAt = context.clock.monotonic()
  const received = await client.send({
    ...outgoing,
    headers,
    address,
    body: body?.open(),
    signal: scope.signal,
    bufferBytes: responseBufferBytes,
    checkHead: head => adapter.checkResponse(headers, head)
  })
  if (received.ok || received.val.verdict !== 'not-run' || received.val.reached === true) repeats.recordArrival(service, origin)
  if (received.ok) {
    const percent = adapter.readMachinePercent(received.val)
    if (percent !== undefined) context.local.recordMachine(target, percent)
    watchResponse(received.val, inFlight, runPermit, address)
    const runMs = context.clock.monotonic() - startedAt
    return received.map(targetResponse => ({ targetResponse, permit: runPermit, runMs }))
  }
  runPermit.release()
  return Err(await checkCrash(received.val, inFlight, target, address))
}

/** The load of a target as the response to a request reports it. */
export function measureLoad ({ local, adapter }: InboundContext, target: string, result: Result<LocalResponse, Failure>): TargetLoad {
  const load = local.measureLoad(target)
  if (result.err) return load
  const { permit: { serviceMs }, targetResponse } = result.val
  const machinePercent = adapter.readMachinePercent(targetResponse)
  return { ...load, ...serviceMs === undefined ? {} : { serviceMs }, ...machinePercent === undefined ? {} : { machinePercent } }
}

/** Requests that agree in this are likely to be served by the same code of the target, which makes the same calls. */
function getRunKind ({ service, routeClass, outgoing: { method } }: LocalRequest): string {
  return `${service} ${routeClass} ${method}`
}

/** A run ends when its slot is released. */
function makeRunPermit (permit: Permit, endRun: () => void): Permit {
  return {
    get serviceMs () { return permit.serviceMs },
    release: isServed => {
      endRun()
      permit.release(isServed)
    }
  }
}

/**
 * Tracks a streamed response to its end, since a target can crash in the middle of its response. The target is done after its last
 * byte, which may be long before a slow caller has received the response.
 */
function watchResponse ({ statusCode, body }: TargetResponse, inFlight: InFlightRequest, permit: Permit, address: string): void {
  const isServed = statusCode < FIRST_SERVER_ERROR_STATUS
  if (Buffer.isBuffer(body)) {
    permit.release(isServed)
    inFlight.finish()
    return
  }
  body.once('end', () => { permit.release(isServed) })
  finished(body, error => {
    if (error === undefined || error === null) inFlight.finish()
    else void inFlight.fail(address)
  })
}

async function checkCrash (failure: Failure, inFlight: InFlightRequest, target: string, address: string): Promise<Failure> {
  if (failure.verdict === 'not-run') {
    inFlight.discard()
    return failure
  }
  const crashed = await inFlight.fail(address)
  if (crashed === undefined) return failure
  return { ...failure, code: TARGET_CRASHED, message: `target ${target} crashed with the request in flight`, target: crashed }
}

/** Forbids further retries after a retry meets a full queue again, since more retries would keep the queue full. */
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
  const { request, service, routeClass, attempt, origin, objectiveMs, route, spentMs, method, path, headers } = inbound
  const outgoing = { method, path, headers }
  const need = route === undefined ? undefined : makeNeed(service, route, method, spentMs)
  try {
    await scope.awaitPendingClose()
    const target = context.local.resolveTarget(inbound.target, service)
    const result = await runLocal(context, {
      service, target, routeClass, attempt, origin, objectiveMs, need, scope, outgoing, body: inbound.hasBody ? body : undefined
    })
    if (result.ok && context.rollouts?.hasRollout(service) === true) response.setHeader(HEADERS.runTime, String(Math.round(result.val.runMs)))
    response.setHeader(HEADERS.load, formatLoad(measureLoad(context, target, result)))
    if (result.err) {
      writeFailure(response, result.val, request)
      return
    }
    await writeResponse(response, result.val.targetResponse, filterResponseHeaders(result.val.targetResponse.headers, request))
    result.val.permit.release()
  } finally {
    scope.end()
  }
}
