/**
 * The task of one caller's request: resolves the route in one snapshot, then makes attempts until
 * a target answers or the failure is final.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { deriveDeadline, Err, Ok, makeFailure } from '../../core/index.js'
import type { Clock, Failure, Random, Result } from '../../core/index.js'
import type { Target } from '../../membership/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import type { SuspectTable } from '../../suspect/index.js'
import { writeAnswer, writeFailure } from '../answer.js'
import { keepSmallBody } from '../commands/keep.js'
import { SuspectCall } from '../commands/suspect.js'
import type { Answer, Exchanger, Outgoing } from '../exchange.js'
import { filterHeaders } from '../headers.js'
import type { Picker } from '../picker.js'
import { readCall } from '../queries/call.js'
import { resolveRoute } from '../queries/route.js'
import type { Resolved } from '../queries/route.js'
import type { RetryPolicy } from '../retry.js'
import { HEADERS } from '../schema.js'
import type { Call } from '../schema.js'
import { readBody, readFailure, runLocal } from './inbound.js'
import type { InboundContext } from './inbound.js'
import { runOnce } from './once.js'
import type { OnceContext } from './once.js'

export interface CallerContext {
  host: string
  clock: Clock
  random: Random
  metrics: Metrics
  inbound: InboundContext
  peers: Exchanger
  picker: Picker
  retry: RetryPolicy
  once: OnceContext
  suspects: SuspectTable
  getSnapshot: () => Snapshot
  isReady: () => boolean
  isLeaving: () => boolean
  onFailure: (call: Call, failure: Failure) => void
}

/** `kept` is the whole body where it was read before the first attempt. */
interface Attempt {
  call: Call
  resolved: Resolved
  target: Target
  number: number
  leftMs: number
  message: IncomingMessage
  signal: AbortSignal
  kept: Buffer | undefined
  suspect: SuspectCall
}

/** `finish` ends the accounting of the attempt when the answer has been passed on. */
export interface Won { answer: Answer, finish: (failed: boolean) => void }

const RETRY_AFTER_MS = 200

export async function serveCaller (context: CallerContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  const left = new AbortController()
  response.on('close', () => { left.abort() })
  const call = readCall(message)
  if (call.err) {
    refuseCall(context, response, call.val)
    return
  }
  const won = await runCall(context, call.val, message, left.signal)
  if (won.err) {
    refuseCall(context, response, won.val, call.val)
    return
  }
  const whole = await writeAnswer(response, won.val.answer, call.val.request)
  won.val.finish(!whole)
  context.metrics.count('calls_total', { service: call.val.service, verdict: whole ? 'ran' : 'cut' })
}

function refuseCall (context: CallerContext, response: ServerResponse, failure: Failure, call?: Call): void {
  context.metrics.count('calls_total', { service: call?.service ?? 'unknown', verdict: failure.verdict })
  if (call !== undefined) context.onFailure(call, failure)
  if (context.isLeaving()) response.setHeader('connection', 'close')
  writeFailure(response, failure, call?.request ?? '')
}

async function runCall (context: CallerContext, call: Call, message: IncomingMessage, left: AbortSignal): Promise<Result<Won, Failure>> {
  if (context.isLeaving()) return Err(makeFailure('not-run', 503, 'leaving', 'this node is leaving', RETRY_AFTER_MS))
  if (!context.isReady()) return Err(makeFailure('not-run', 503, 'not_ready', 'this node has no configuration yet', RETRY_AFTER_MS))
  const resolved = resolveRoute(context.getSnapshot(), call, context.random)
  if (resolved.err) return resolved
  const { route, service } = resolved.val
  const deadlineMs = Math.min(route.deadlineMs, call.deadlineMs ?? route.deadlineMs)
  const endsAt = context.clock.monotonic() + deadlineMs
  const signal = deriveDeadline(left, deadlineMs)
  context.retry.countCall(service)
  const run = async (kept?: Buffer): Promise<Result<Won, Failure>> =>
    await attemptTargets(context, call, resolved.val, message, signal, endsAt, kept)
  if (route.kind === 'once') return await runOnce(context.once, { call, route, message, signal }, run)
  const kept = await keepSmallBody(context.once.bodies, call, message, signal)
  if (kept.err) return kept
  const won = await run(kept.val?.body)
  kept.val?.release()
  return won
}

async function attemptTargets (
  context: CallerContext, call: Call, resolved: Resolved, message: IncomingMessage, signal: AbortSignal, endsAt: number, kept?: Buffer
): Promise<Result<Won, Failure>> {
  const tried = new Set<string>()
  const suspect = new SuspectCall(context.suspects, call, kept)
  let last = makeFailure('not-run', 503, 'no_target', `${resolved.service} has no target that can be used`, RETRY_AFTER_MS)
  for (let number = 1; ; number += 1) {
    const blocked = suspect.refuse()
    if (blocked !== undefined) return Err(mergeFailures(last, blocked, number))
    const target = context.picker.pick({ targets: resolved.targets, tried, zones: resolved.document.zones })
    if (target === undefined) return Err(last)
    tried.add(target.id)
    const leftMs = endsAt - context.clock.monotonic()
    const won = await attemptTarget(context, { call, resolved, target, number, leftMs, message, signal, kept, suspect })
    if (won.ok) return Ok({ answer: won.val.answer, finish: failed => { finishWon(won.val, suspect, failed) } })
    suspect.noteFailure(target.id, won.val)
    last = mergeFailures(last, won.val, number)
    const waitMs = context.retry.decide({
      service: resolved.service,
      kind: resolved.route.kind,
      retries: resolved.document.retries,
      failure: won.val,
      attempt: number,
      leftMs: endsAt - context.clock.monotonic(),
      canResend: kept !== undefined || !call.hasBody || !message.readableDidRead
    })
    if (waitMs === undefined) return Err(last)
    await context.clock.sleep(waitMs, signal)
  }
}

function finishWon (won: Won, suspect: SuspectCall, failed: boolean): void {
  if (!failed) suspect.noteWhole()
  won.finish(failed)
}

/** The verdict over all attempts: one attempt that may have run outweighs any that did not. */
function mergeFailures (before: Failure, now: Failure, attempt: number): Failure {
  if (attempt === 1 || before.verdict === 'not-run') return now
  return { ...now, verdict: before.verdict }
}

async function attemptTarget (context: CallerContext, attempt: Attempt): Promise<Result<Won, Failure>> {
  const { picker, clock } = context
  const startedAt = clock.monotonic()
  picker.begin(attempt.target)
  const finish = (failed: boolean): void => { picker.end(attempt.target, clock.monotonic() - startedAt, failed) }
  const won = attempt.target.host === context.host ? await attemptLocal(context, attempt, finish) : await attemptRemote(context, attempt, finish)
  if (won.err) finish(true)
  return won
}

function makeOutgoing ({ call, resolved, number, target, leftMs, message, signal, kept, suspect }: Attempt): Omit<Outgoing, 'address'> {
  return {
    method: call.method,
    path: call.path,
    headers: {
      ...filterHeaders(message.headers),
      ...suspect.makeHeaders(),
      [HEADERS.request]: call.request,
      [HEADERS.service]: resolved.service,
      [HEADERS.hops]: String(call.hops + 1),
      [HEADERS.attempt]: String(number),
      [HEADERS.deadline]: String(Math.max(1, Math.floor(leftMs))),
      [HEADERS.routeClass]: resolved.route.class,
      [HEADERS.target]: target.id.slice(target.host.length + 1)
    },
    body: kept ?? readBody(message),
    signal
  }
}

async function attemptLocal (context: CallerContext, attempt: Attempt, finish: Won['finish']): Promise<Result<Won, Failure>> {
  const outgoing = makeOutgoing(attempt)
  const held = await runLocal(context.inbound, {
    target: String(outgoing.headers[HEADERS.target]), routeClass: attempt.resolved.route.class, waitMs: attempt.leftMs, outgoing
  })
  if (held.err) return held
  const { answer, permit } = held.val
  return Ok({
    answer,
    finish: failed => {
      permit.release()
      finish(failed)
    }
  })
}

async function attemptRemote (context: CallerContext, attempt: Attempt, finish: Won['finish']): Promise<Result<Won, Failure>> {
  const sent = await context.peers.send({ ...makeOutgoing(attempt), address: attempt.target.inbound })
  if (sent.err) return sent
  const failed = sent.val.headers[HEADERS.verdict] !== undefined ? await readFailure(sent.val) : sent
  return failed.map(answer => ({ answer, finish }))
}
