/**
 * Sends one attempt of a call to a target on this host, or to the node on the host of the target.
 */
import type { Account } from '../../account/index.js'
import { Err, Ok, failureSchema, makeFailure, readWholeText } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { RouteClass } from '../../document/index.js'
import type { RolloutCall } from '../../rollout/index.js'
import type { Target } from '../../membership/index.js'
import type { DeliveryOutcome } from '../response.js'
import type { RequestBody } from '../body.js'
import type { SuspectCall } from '../commands/suspect.js'
import type { TargetResponse, HttpClient, OutgoingRequest } from '../httpclient.js'
import type { EntryPolicy } from '../entry.js'
import { parseLoad } from '../load.js'
import { parseInteger } from '../headers.js'
import type { TargetLoad } from '../load.js'
import type { Headers } from '../headers.js'
import type { AttemptOutcome, Picker } from '../picker.js'
import { deriveFailureOutcome, deriveResponseOutcome } from '../queries/outcome.js'
import type { ResolvedRoute } from '../queries/route.js'
import { HEADERS } from '../schema.js'
import type { Call, RunOrigin } from '../schema.js'
import type { RequestScope } from '../scope.js'
import { makeNeed } from '../workcontrol.js'
import type { RequestNeed, WorkControl } from '../workcontrol.js'
import { measureLoad, runLocal } from './inbound.js'
import type { InboundContext } from './inbound.js'

const FIRST_SERVER_ERROR_STATUS = 500
const MAX_FAILURE_BYTES = 64 * 1024

/** A call after route resolution: the state that all its attempts share. */
export interface ActiveCall {
  call: Call
  resolved: ResolvedRoute
  headers: Headers
  body: RequestBody
  scope: RequestScope
  suspect: SuspectCall
  /** The probability that a repeated run on this host made the call. */
  repeatShare: number
  account: Account | undefined
  /** Absent if the call may go to all targets of its service. */
  rollout: RolloutCall | undefined
  /** Present for a nested call: how long the run that made it has used its slot. */
  spentMs?: number | undefined
}

export interface Attempt { activeCall: ActiveCall, target: Target, number: number, origin: RunOrigin }

/** `finish` ends the accounting of the attempt after the response has been forwarded. */
export interface AttemptResponse { targetResponse: TargetResponse, finish: (delivery: DeliveryOutcome) => void }

export interface AttemptContext {
  host: string
  clock: Clock
  picker: Picker
  /** Absent: nothing is decided by expected time. */
  control?: WorkControl | undefined
  /** Absent: no call is refused before its first attempt. */
  entry?: EntryPolicy | undefined
  inbound: InboundContext
  peerClient: HttpClient
}

/** `release` frees the slot if the target is on this host. */
interface ReceivedResponse { targetResponse: TargetResponse, release: () => void, runMs?: number | undefined }

export async function attemptTarget (context: AttemptContext, attempt: Attempt): Promise<Result<AttemptResponse, Failure>> {
  const { picker, clock } = context
  const { target, activeCall } = attempt
  const startedAt = clock.monotonic()
  picker.beginAttempt(target, makeCallNeed(activeCall))
  const received = target.host === context.host ? await attemptLocal(context, attempt) : await attemptRemote(context, attempt)
  // The duration of a streamed upload mostly depends on the caller.
  const elapsedMs = clock.monotonic() - startedAt
  const latencyMs = activeCall.call.hasBody && !activeCall.body.canResend ? undefined : elapsedMs
  if (received.err) {
    const failure = activeCall.body.isAboveLimit ? makeBodyLimitFailure(received.val) : received.val
    const { scope: { isCallerDisconnected }, call: { deadlineMs: callDeadlineMs }, resolved: { route } } = activeCall
    const outcome = deriveFailureOutcome({ failure, isCallerDisconnected, callDeadlineMs, route, elapsedMs })
    picker.endAttempt(target, latencyMs, outcome, failure.code)
    recordForRollout(attempt, outcome, failure.verdict !== 'not-run' || failure.reached === true, latencyMs)
    return Err(failure)
  }
  const { targetResponse, release, runMs } = received.val
  const finish = (delivery: DeliveryOutcome): void => {
    release()
    const outcome = deriveResponseOutcome(targetResponse.statusCode, delivery)
    picker.endAttempt(target, latencyMs, outcome)
    recordForRollout(attempt, outcome, true, latencyMs === undefined ? undefined : runMs ?? latencyMs)
  }
  return Ok({ targetResponse, finish })
}

function recordForRollout (
  { activeCall: { rollout, resolved }, target }: Attempt, result: AttemptOutcome, isReached: boolean, elapsedMs: number | undefined
): void {
  rollout?.record({ target, route: resolved.name, result, isReached, elapsedMs })
}

async function attemptLocal (context: AttemptContext, attempt: Attempt): Promise<Result<ReceivedResponse, Failure>> {
  const { activeCall, target, number, origin } = attempt
  const { local } = context.inbound
  const name = local.resolveTarget(getTargetName(target), target.service)
  const result = await runLocal(context.inbound, {
    service: target.service,
    target: name,
    routeClass: getClass(activeCall),
    attempt: number,
    origin,
    objectiveMs: measureRemainingObjective(activeCall),
    need: makeCallNeed(activeCall),
    scope: activeCall.scope,
    outgoing: makeOutgoingRequest(attempt),
    body: activeCall.call.hasBody ? activeCall.body : undefined
  })
  recordLoad(context, attempt, measureLoad(context.inbound, name, result))
  return result.map(({ targetResponse, permit, runMs }) => ({ targetResponse, release: permit.release, runMs }))
}

async function attemptRemote (context: AttemptContext, attempt: Attempt): Promise<Result<ReceivedResponse, Failure>> {
  const { activeCall, target } = attempt
  const body = activeCall.call.hasBody ? activeCall.body.open() : undefined
  const received = await context.peerClient.send({
    ...makeOutgoingRequest(attempt, context.control?.isInForce),
    address: target.inbound,
    body,
    signal: activeCall.scope.signal,
    bufferBytes: context.inbound.responseBufferBytes
  })
  if (received.err) return received.mapErr(failure => failure.verdict === 'not-run' ? failure : { ...failure, reached: true })
  const load = parseLoad(received.val.headers[HEADERS.load])
  if (load !== undefined) recordLoad(context, attempt, load)
  if (received.val.headers[HEADERS.verdict] !== undefined) return Err(await readPeerFailure(received.val))
  const runMs = parseInteger(received.val.headers[HEADERS.runTime], 0)
  return received.map(targetResponse => ({ targetResponse, release: () => {}, runMs: typeof runMs === 'number' ? runMs : undefined }))
}

function recordLoad ({ picker, control, clock }: AttemptContext, { target, activeCall }: Attempt, load: TargetLoad): void {
  picker.recordLoad(target, load)
  control?.recordReport(target.id, makeCallNeed(activeCall), load, clock.monotonic())
}

/**
 * Parses the failure that the target-side node reported. The request itself was accepted by this node, so a status below 500 is about
 * the message between the nodes. The caller cannot correct that, and another target-side node may accept the message.
 */
async function readPeerFailure ({ body }: TargetResponse): Promise<Failure> {
  try {
    const failure = failureSchema.parse(JSON.parse(Buffer.isBuffer(body) ? body.toString() : await readWholeText(body, MAX_FAILURE_BYTES) ?? ''))
    if (failure.status >= FIRST_SERVER_ERROR_STATUS) return failure
    return { ...failure, status: failure.verdict === 'not-run' ? 503 : 502, code: 'peer_refused', message: `the target-side node rejected the message: ${failure.code}: ${failure.message}` }
  } catch {
    return makeFailure('may-have-run', 502, 'bad_answer', 'the response of the target-side node does not parse')
  }
}

function makeOutgoingRequest ({ activeCall, target, number, origin }: Attempt, isDecidedByWork = false): Pick<OutgoingRequest, 'method' | 'path' | 'headers'> {
  const { call, resolved, headers, scope, suspect, account, spentMs } = activeCall
  const outgoingHeaders: Headers = {
    ...headers,
    ...suspect.makeHeaders(target.host),
    [HEADERS.request]: call.request,
    [HEADERS.service]: resolved.service,
    [HEADERS.hops]: String(call.hops + 1),
    [HEADERS.attempt]: String(number),
    [HEADERS.repeatPercent]: String(Math.round(origin.repeatShare * 100)),
    [HEADERS.deadline]: String(scope.forwardedDeadlineMs),
    [HEADERS.routeClass]: getClass(activeCall),
    [HEADERS.target]: getTargetName(target),
    ...call.caller === undefined ? {} : { [HEADERS.caller]: call.caller },
    ...account === undefined ? {} : { [HEADERS.account]: encodeURIComponent(account.name) }
  }
  if (isDecidedByWork) outgoingHeaders[HEADERS.kind] = encodeURIComponent(resolved.name)
  if (spentMs !== undefined) outgoingHeaders[HEADERS.spent] = String(Math.round(spentMs))
  if (origin.isRepeat) outgoingHeaders[HEADERS.repeat] = '1'
  const objectiveMs = measureRemainingObjective(activeCall)
  if (objectiveMs !== undefined) outgoingHeaders[HEADERS.objective] = String(Math.round(objectiveMs))
  // Services further down must not retry a request that is itself a retry, or the attempts would multiply with each hop.
  if (number > 1 || call.noRetry) outgoingHeaders[HEADERS.noRetry] = '1'
  return { method: call.method, path: call.path, headers: outgoingHeaders }
}

export function makeCallNeed ({ call: { method }, resolved: { service, name }, spentMs }: ActiveCall): RequestNeed {
  return makeNeed(service, encodeURIComponent(name), method, spentMs === undefined ? 0 : Math.max(1, spentMs))
}

function getClass ({ account, resolved: { route } }: ActiveCall): RouteClass {
  return account?.class ?? route.class
}

/** Returns the time left of the latency objective of the route. */
function measureRemainingObjective ({ resolved: { route }, scope }: ActiveCall): number | undefined {
  return route.objectiveMs === undefined ? undefined : Math.max(0, route.objectiveMs - scope.elapsedMs)
}

export function getTargetName (target: Target): string {
  return target.id.slice(target.host.length + 1)
}

function makeBodyLimitFailure ({ verdict }: Failure): Failure {
  return makeFailure(verdict, 413, 'body_too_large', 'the request body exceeds the limit of its route')
}
