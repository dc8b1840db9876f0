/**
 * The task of one caller's request: resolves the route in one snapshot, then makes attempts until
 * a target answers or the failure is final.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Failure, Random, Result, Verdict } from '../../core/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import { writeAnswer, writeFailure } from '../answer.js'
import { SuspectCall } from '../commands/suspect.js'
import type { SuspectTable } from '../../suspect/index.js'
import type { Passed } from '../answer.js'
import { RequestBody } from '../body.js'
import { filterCallerHeaders } from '../headers.js'
import { readCall } from '../queries/call.js'
import { resolveRoute } from '../queries/route.js'
import type { RetryPolicy } from '../retry.js'
import type { Call } from '../schema.js'
import { RequestScope } from '../scope.js'
import { attemptTarget } from './attempt.js'
import { runOnce } from './once.js'
import type { OnceContext } from './once.js'
import type { AttemptContext, CallRun, Won } from './attempt.js'

export interface CallerContext extends AttemptContext {
  random: Random
  metrics: Metrics
  retry: RetryPolicy
  once: OnceContext
  suspects: SuspectTable
  getSnapshot: () => Snapshot
  isReady: () => boolean
  onFailure: (call: Call, failure: Failure) => void
}

const RETRY_AFTER_MS = 200

export async function serveCaller (context: CallerContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = new RequestBody(message, response)
  const call = readCall(message)
  if (call.err) {
    refuseCall(context, response, call.val)
  } else {
    const won = await runCall(context, call.val, body, message, response)
    if (won.err) refuseCall(context, response, won.val, call.val)
    else await answerCall(context, response, won.val, call.val)
  }
  body.drainRest()
}

async function answerCall (context: CallerContext, response: ServerResponse, { answer, finish }: Won, call: Call): Promise<void> {
  const passed = await writeAnswer(response, answer, call.request)
  finish(passed)
  context.metrics.count('calls_total', { service: call.service, verdict: PASSED_LABELS[passed] })
  if (passed === 'cut') context.onFailure(call, makeFailure('may-have-run', 502, 'answer_cut', 'the answer ended early; the caller saw a reset connection'))
}

const PASSED_LABELS: Record<Passed, string> = { whole: 'ran', cut: 'cut', left: 'left' }

function refuseCall (context: CallerContext, response: ServerResponse, failure: Failure, call?: Call): void {
  context.metrics.count('calls_total', { service: call?.service ?? 'unknown', verdict: failure.verdict })
  if (call !== undefined) context.onFailure(call, failure)
  writeFailure(response, failure, call?.request ?? '')
}

async function runCall (
  context: CallerContext, call: Call, body: RequestBody, message: IncomingMessage, response: ServerResponse
): Promise<Result<Won, Failure>> {
  if (!context.isReady()) return Err(makeFailure('not-run', 503, 'not_ready', 'this node has no configuration yet', RETRY_AFTER_MS))
  const resolved = resolveRoute(context.getSnapshot(), call, context.random)
  if (resolved.err) return resolved
  const { route, service } = resolved.val
  body.setLimit(route.maxBodyBytes)
  const scope = new RequestScope(context.clock, Math.min(route.deadlineMs, call.deadlineMs ?? route.deadlineMs), response)
  context.retry.countCall(service)
  const run = async (): Promise<Result<Won, Failure>> => {
    const suspect = new SuspectCall(context.suspects, call, body.kept)
    return await attemptTargets(context, { call, resolved: resolved.val, headers: filterCallerHeaders(message.headers), body, scope, suspect })
  }
  if (route.kind === 'once') return await runOnce(context.once, { call, route, body, signal: scope.signal }, run)
  if (call.hasBody && !await body.collect(scope.signal)) {
    scope.end()
    return Err(makeFailure('not-run', 504, 'deadline', 'the body did not come in time'))
  }
  return await run()
}

async function attemptTargets (context: CallerContext, run: CallRun): Promise<Result<Won, Failure>> {
  const { call, resolved, body, scope, suspect } = run
  const tried = new Set<string>()
  let worst: Failure | undefined
  for (let number = 1; !scope.signal.aborted; number += 1) {
    const blocked = suspect.refuse()
    if (blocked !== undefined) return Err(pickWorse(worst, blocked))
    const target = context.picker.pick({ targets: resolved.targets, tried, zones: resolved.document.zones })
    if (target === undefined) return Err(worst ?? makeFailure('not-run', 503, 'no_target', `${resolved.service} has no target that can be used`, RETRY_AFTER_MS))
    tried.add(target.id)
    const won = await attemptTarget(context, { run, target, number })
    if (won.ok) return Ok({ answer: won.val.answer, finish: passed => { finishWon(won.val, suspect, passed) } })
    suspect.noteFailure(target.id, won.val)
    body.release()
    worst = pickWorse(worst, won.val)
    const decision = context.retry.decide({
      service: resolved.service,
      kind: resolved.route.kind,
      retries: resolved.document.retries,
      failure: won.val,
      attempt: number,
      leftMs: scope.leftMs,
      canResend: !call.hasBody || body.canResend
    })
    if (call.noRetry || typeof decision === 'string') return Err(number > 1 || decision === 'spent' ? { ...worst, noRetry: true } : worst)
    await context.clock.sleep(decision, scope.signal)
  }
  return Err(worst ?? makeFailure('not-run', 504, 'deadline', 'the deadline passed before the request was sent'))
}

function finishWon (won: Won, suspect: SuspectCall, passed: Passed): void {
  if (passed === 'whole') suspect.noteWhole()
  won.finish(passed)
}

const VERDICT_ORDER: readonly Verdict[] = ['not-run', 'may-have-run', 'ran']

/** The failure over all attempts: one that may have run outweighs any that did not. */
function pickWorse (before: Failure | undefined, now: Failure): Failure {
  if (before === undefined) return now
  return VERDICT_ORDER.indexOf(before.verdict) > VERDICT_ORDER.indexOf(now.verdict) ? before : now
}
