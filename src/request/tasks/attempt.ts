/**
 * One attempt of a call: on a target of this host, or through the node of the target's host.
 */
import { json } from 'node:stream/consumers'
import { Err, Ok, failureSchema, makeFailure } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { Target } from '../../membership/index.js'
import type { Passed } from '../answer.js'
import type { RequestBody } from '../body.js'
import type { SuspectCall } from '../commands/suspect.js'
import type { TargetResponse, HttpClient, OutgoingRequest } from '../httpclient.js'
import { holdAnswer } from '../hold.js'
import { parseLoad } from '../load.js'
import type { Headers } from '../headers.js'
import type { AttemptOutcome, Picker } from '../picker.js'
import type { ResolvedRoute } from '../queries/route.js'
import { HEADERS } from '../schema.js'
import type { Call } from '../schema.js'
import type { RequestScope } from '../scope.js'
import { runLocal } from './inbound.js'
import type { InboundContext } from './inbound.js'

/** One call, resolved: what all its attempts have in common. */
export interface CallRun { call: Call, resolved: ResolvedRoute, headers: Headers, body: RequestBody, scope: RequestScope, suspect: SuspectCall }

export interface Attempt { run: CallRun, target: Target, number: number }

/** `finish` ends the accounting of the attempt when the answer has been passed on. */
export interface Won { answer: TargetResponse, finish: (passed: Passed) => void }

export interface AttemptContext { host: string, clock: Clock, picker: Picker, inbound: InboundContext, peerClient: HttpClient }

/** An answer, and the slot it holds if the target is on this host. */
interface Reached { answer: TargetResponse, release: () => void }

/** Refusals that say that the target is busy or going, not that it is failing. */
const REFUSAL_CODES = new Set(['queue_full', 'shed', 'leaving', 'no_target', 'deadline_in_queue', 'suspect_waits', 'quarantined'])

export async function attemptTarget (context: AttemptContext, attempt: Attempt): Promise<Result<Won, Failure>> {
  const { picker, clock } = context
  const { target, run } = attempt
  const startedAt = clock.monotonic()
  picker.beginAttempt(target)
  const reached = target.host === context.host ? await attemptLocal(context, attempt) : await attemptRemote(context, attempt)
  // The time of an upload that streams is mostly the caller's.
  const latencyMs = run.call.hasBody && !run.body.canResend ? undefined : clock.monotonic() - startedAt
  if (reached.err) {
    const failure = run.body.isAboveLimit ? makeLimitFailure(reached.val) : reached.val
    picker.endAttempt(target, latencyMs, deriveFailureOutcome(failure, run), failure.code)
    return Err(failure)
  }
  const { answer, release } = reached.val
  const finish = (passed: Passed): void => {
    release()
    picker.endAttempt(target, latencyMs, deriveAnswerOutcome(answer, passed))
  }
  return Ok({ answer, finish })
}

async function attemptLocal (context: AttemptContext, { run, target, number }: Attempt): Promise<Result<Reached, Failure>> {
  const held = await runLocal(context.inbound, {
    target: getName(target),
    routeClass: run.resolved.route.class,
    attempt: number,
    objectiveMs: measureObjective(run),
    scope: run.scope,
    outgoing: makeOutgoing(run, target, number),
    body: run.call.hasBody ? run.body : undefined
  })
  context.picker.recordLoad(target, context.inbound.local.measureLoad(getName(target)))
  return held.map(({ targetResponse: answer, permit }) => ({ answer, release: permit.release }))
}

async function attemptRemote (context: AttemptContext, { run, target, number }: Attempt): Promise<Result<Reached, Failure>> {
  const body = run.call.hasBody ? run.body.open() : undefined
  const sent = await context.peerClient.send({ ...makeOutgoing(run, target, number), address: target.inbound, body, signal: run.scope.signal })
  if (sent.err) return sent.mapErr(failure => failure.verdict === 'not-run' ? failure : { ...failure, reached: true })
  const load = parseLoad(sent.val.headers[HEADERS.load])
  if (load !== undefined) context.picker.recordLoad(target, load)
  if (sent.val.headers[HEADERS.verdict] !== undefined) return Err(await readFailure(sent.val))
  const held = await holdAnswer(sent.val, context.inbound.responseBufferBytes)
  return held.map(answer => ({ answer, release: () => {} }))
}

/** A failure that the last node reported, as the first node sees it. */
async function readFailure (answer: TargetResponse): Promise<Failure> {
  try {
    return failureSchema.parse(await json(answer.body))
  } catch {
    return makeFailure('may-have-run', 502, 'bad_answer', 'the node of the target gave an answer that does not parse')
  }
}

function makeOutgoing (run: CallRun, target: Target, number: number): Omit<OutgoingRequest, 'address' | 'body' | 'signal'> {
  const { call, resolved, headers, scope, suspect } = run
  const sent: Headers = {
    ...headers,
    ...suspect.makeHeaders(),
    [HEADERS.request]: call.request,
    [HEADERS.service]: resolved.service,
    [HEADERS.hops]: String(call.hops + 1),
    [HEADERS.attempt]: String(number),
    [HEADERS.deadline]: String(scope.forwardedDeadlineMs),
    [HEADERS.routeClass]: resolved.route.class,
    [HEADERS.target]: getName(target),
    ...call.caller === undefined ? {} : { [HEADERS.caller]: call.caller }
  }
  const objectiveMs = measureObjective(run)
  if (objectiveMs !== undefined) sent[HEADERS.objective] = String(Math.round(objectiveMs))
  // Below a retry nobody retries again, or the attempts would multiply with each hop.
  if (number > 1 || call.noRetry) sent[HEADERS.noRetry] = '1'
  return { method: call.method, path: call.path, headers: sent }
}

/** What is left of the route's objective. */
function measureObjective ({ resolved: { route }, scope }: CallRun): number | undefined {
  return route.objectiveMs === undefined ? undefined : Math.max(0, route.objectiveMs - scope.elapsedMs)
}

function getName (target: Target): string {
  return target.id.slice(target.host.length + 1)
}

function makeLimitFailure ({ verdict }: Failure): Failure {
  return makeFailure(verdict, 413, 'body_too_large', 'the body is longer than its route allows')
}

function deriveFailureOutcome (failure: Failure, { scope, call, resolved }: CallRun): AttemptOutcome {
  if (scope.isCallerDisconnected || failure.status < 500) return 'cancelled'
  if (failure.verdict === 'not-run' && REFUSAL_CODES.has(failure.code)) return 'refused'
  // A deadline that the caller shortened says nothing of the target.
  if (failure.status === 504 && (call.deadlineMs ?? Infinity) < resolved.route.deadlineMs) return 'cancelled'
  return 'failed'
}

function deriveAnswerOutcome ({ statusCode }: TargetResponse, passed: Passed): AttemptOutcome {
  if (passed === 'left') return 'cancelled'
  return passed === 'cut' || statusCode >= 500 ? 'failed' : 'answered'
}
