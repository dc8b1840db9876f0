/**
 * The attempts of one call, one after the other, until a target answers or the failure is final.
 */
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result, Verdict } from '../../core/index.js'
import type { Target } from '../../membership/index.js'
import type { Passed } from '../answer.js'
import type { TargetResponse } from '../httpclient.js'
import type { RetryDecision, RetryPolicy } from '../retry.js'
import type { Call } from '../schema.js'
import { attemptTarget } from './attempt.js'
import type { AttemptContext, CallRun, Won } from './attempt.js'

/** One attempt that gave no answer to pass on, and what was decided on it. */
export interface FailedAttempt {
  call: Call
  service: string
  target: Target
  number: number
  failure: Failure
  decision: RetryDecision
  leftMs: number
}

export interface AttemptsContext extends AttemptContext {
  retry: RetryPolicy
  onAttemptFailed?: (failed: FailedAttempt) => void
}

const RETRY_AFTER_MS = 200
const FIRST_FAILED_STATUS = 500
/** Refusals for lack of room, which other targets of the service are likely to repeat. */
const ROOM_CODES = new Set(['queue_full', 'shed', 'no_time', 'deadline_in_queue', 'target_refused'])

export class Attempts {
  private readonly tried = new Set<string>()
  private number = 0
  /** Attempts that reached a target. */
  private reached = 0
  private worst: Failure | undefined
  private needsRoom = false
  /** A target's own failure, passed on when no other attempt gives a better answer. */
  private fallback: Won | undefined

  constructor (private readonly context: AttemptsContext, private readonly callRun: CallRun) {}

  async run (): Promise<Result<Won, Failure>> {
    const { scope, suspect, body } = this.callRun
    while (!scope.signal.aborted) {
      const blocked = suspect.reject()
      if (blocked !== undefined) return this.finish(blocked)
      const target = this.pickTarget()
      if (target === undefined) return this.finish(this.worst ?? this.makeNoTarget())
      this.number += 1
      const won = await attemptTarget(this.context, { run: this.callRun, target, number: this.number })
      const failure = this.noteResult(target, won)
      if (failure === undefined) return won.map(answer => this.makeWon(answer))
      body.release()
      const decision = this.decide(failure)
      this.report(target, failure, decision)
      if (typeof decision === 'string') return this.finish(this.makeLast(decision))
      await this.context.clock.sleep(decision, scope.signal)
    }
    return this.finish(this.worst ?? makeFailure('not-run', 504, 'deadline', 'the deadline passed before the request was sent'))
  }

  private pickTarget (): Target | undefined {
    const { resolved, call } = this.callRun
    const { targets, document: { zones } } = resolved
    const target = this.context.picker.pick({ targets, tried: this.tried, needsFreeSlot: this.needsRoom, zones, bytes: call.bodyBytes ?? 0 })
    if (target !== undefined) this.tried.add(target.id)
    return target
  }

  /** What speaks for another attempt: a failure of the path, or one that the target itself answered. */
  private noteResult (target: Target, won: Result<Won, Failure>): Failure | undefined {
    const failure = won.ok ? findTargetFailure(won.val.answer) : won.val
    if (failure === undefined) return undefined
    if (failure.reached === true) this.reached += 1
    this.needsRoom = ROOM_CODES.has(failure.code)
    if (won.ok) {
      this.fallback?.finish('whole')
      this.fallback = this.makeWon(won.val)
    } else {
      this.callRun.suspect.recordFailure(target.id, won.val)
      this.worst = pickWorse(this.worst, won.val)
    }
    return failure
  }

  private makeWon (won: Won): Won {
    const finish = (passed: Passed): void => {
      if (passed === 'whole') this.callRun.suspect.recordCompleteResponse()
      won.finish(passed)
    }
    return { answer: won.answer, finish }
  }

  private decide (failure: Failure): RetryDecision {
    const { call, resolved, body, scope } = this.callRun
    const { route, document, service } = resolved
    if (call.noRetry) return 'final'
    return this.context.retry.decide({
      service,
      kind: route.kind,
      retries: document.retries,
      failure,
      attempt: this.number,
      reached: this.reached,
      attempts: route.attempts ?? document.retries.attempts,
      leftMs: scope.leftMs,
      canResend: !call.hasBody || body.canResend
    })
  }

  private report (target: Target, failure: Failure, decision: RetryDecision): void {
    const { call, resolved: { service }, scope: { leftMs } } = this.callRun
    this.context.onAttemptFailed?.({ call, service, target, number: this.number, failure, decision, leftMs })
  }

  private makeLast (decision: 'final' | 'spent'): Failure | undefined {
    if (this.worst === undefined) return undefined
    return this.number > 1 || decision === 'spent' ? { ...this.worst, noRetry: true } : this.worst
  }

  private makeNoTarget (): Failure {
    return makeFailure('not-run', 503, 'no_target', `${this.callRun.resolved.service} has no target that can be used`, RETRY_AFTER_MS)
  }

  private finish (failure: Failure | undefined): Result<Won, Failure> {
    if (this.fallback !== undefined) return Ok(this.fallback)
    return Err(pickWorse(this.worst, failure ?? this.makeNoTarget()))
  }
}

/** Only an answer that was read whole can be kept while another attempt is made. */
function findTargetFailure ({ statusCode, kept }: TargetResponse): Failure | undefined {
  if (statusCode < FIRST_FAILED_STATUS || kept === undefined) return undefined
  return { ...makeFailure('ran', statusCode, 'target_failed', `the target answered ${statusCode}`), reached: true }
}

const VERDICT_ORDER: readonly Verdict[] = ['not-run', 'may-have-run', 'ran']

/** The failure over all attempts: one that may have run outweighs any that did not. */
function pickWorse (before: Failure | undefined, now: Failure): Failure {
  if (before === undefined) return now
  return VERDICT_ORDER.indexOf(before.verdict) > VERDICT_ORDER.indexOf(now.verdict) ? before : now
}
