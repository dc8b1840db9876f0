/**
 * Makes the attempts of one call one after the other, until a target responds or the failure is final.
 */
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result, Verdict } from '../../core/index.js'
import type { Target } from '../../membership/index.js'
import type { DeliveryOutcome } from '../response.js'
import type { TargetResponse } from '../httpclient.js'
import type { TargetLoad } from '../load.js'
import type { RetryDecision, RetryPolicy } from '../retry.js'
import { makeNoTargetFailure } from '../queries/decision.js'
import type { Call, RunOrigin } from '../schema.js'
import { NESTED_NO_ROOM } from './inbound.js'
import { attemptTarget, getTargetName, makeCallNeed } from './attempt.js'
import type { AttemptContext, ActiveCall, AttemptResponse } from './attempt.js'

/** An attempt without a response that can be forwarded, and the retry decision that followed. */
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

const FIRST_SERVER_ERROR_STATUS = 500
/** Rejections for lack of capacity, which other targets of the service are likely to repeat. */
const CAPACITY_CODES = new Set(['queue_full', 'shed', 'no_time', 'deadline_in_queue', 'target_refused'])

export class Attempts {
  private readonly attemptedTargets = new Set<string>()
  private attemptNumber = 0
  /** Number of attempts that reached a target. */
  private reachedCount = 0
  private worstFailure: Failure | undefined
  private needsFreeSlot = false
  private hasReached = false
  /** The code of the failure of the previous attempt. */
  private lastCode: string | undefined
  /** The retry budget has allowed an attempt that has not reached a target yet. */
  private hasAllowedRetry = false
  /** A server error response of a target. The caller gets it when no other attempt yields a better response. */
  private fallbackResponse: AttemptResponse | undefined

  constructor (private readonly context: AttemptsContext, private readonly activeCall: ActiveCall) {}

  async run (): Promise<Result<AttemptResponse, Failure>> {
    try {
      return await this.attemptInTurn()
    } finally {
      this.finishRetry(false)
    }
  }

  /** True if an attempt reached a target, or may have. */
  get hasReachedTarget (): boolean {
    return this.hasReached
  }

  private async attemptInTurn (): Promise<Result<AttemptResponse, Failure>> {
    const { scope, suspect, body } = this.activeCall
    while (!scope.signal.aborted) {
      const blocked = suspect.reject()
      if (blocked !== undefined) return this.finish(blocked)
      const target = this.pickTarget()
      if (target === undefined) return this.finish(this.worstFailure ?? makeNoTargetFailure(this.activeCall.resolved.service))
      this.attemptNumber += 1
      const result = await attemptTarget(this.context, { activeCall: this.activeCall, target, number: this.attemptNumber, origin: this.origin })
      const failure = this.recordResult(target, result)
      if (hasReachedTarget(result)) {
        this.hasReached = true
        this.finishRetry(true)
      }
      if (failure === undefined) {
        // The error response that this one replaces counts for its target, too.
        this.fallbackResponse?.finish('whole')
        return result.map(response => this.makeResponse(response))
      }
      body.release()
      const decision = this.decide(failure)
      this.reportFailedAttempt(target, failure, decision)
      if (typeof decision === 'string') return this.finish(this.makeFinalFailure(decision))
      await this.context.clock.sleep(decision, scope.signal)
    }
    return this.finish(this.worstFailure ?? makeFailure('not-run', 504, 'deadline', 'the deadline passed before the request was sent'))
  }

  private get origin (): RunOrigin {
    const isRepeat = this.reachedCount > 0
    return { isRepeat, repeatShare: isRepeat ? 1 : this.activeCall.repeatShare }
  }

  private pickTarget (): Target | undefined {
    const { resolved, call, rollout } = this.activeCall
    const { document: { zones } } = resolved
    const { local } = this.context.inbound
    const measureLocalLoad = (candidate: Target): TargetLoad => local.measureLoad(getTargetName(candidate))
    const pick = (targets: readonly Target[]): Target | undefined => this.context.picker.pick({
      targets,
      tried: this.attemptedTargets,
      needsFreeSlot: this.needsFreeSlot,
      zones,
      bytes: call.bodyBytes ?? 0,
      measureLocalLoad,
      need: makeCallNeed(this.activeCall)
    })
    const target = rollout === undefined ? pick(resolved.targets) : rollout.pick(pick, this.lastCode)
    if (target !== undefined) this.attemptedTargets.add(target.id)
    return target
  }

  /** Returns the reason for another attempt: a failure on the path, or a server error response of the target. */
  private recordResult (target: Target, result: Result<AttemptResponse, Failure>): Failure | undefined {
    const failure = result.ok ? findServerError(result.val.targetResponse) : result.val
    if (failure === undefined) return undefined
    if (failure.reached === true) this.reachedCount += 1
    this.lastCode = failure.code
    this.needsFreeSlot = CAPACITY_CODES.has(failure.code)
    if (result.ok) {
      this.fallbackResponse?.finish('whole')
      this.fallbackResponse = this.makeResponse(result.val)
    } else {
      this.activeCall.suspect.recordFailure(target.id, result.val)
      this.worstFailure = pickWorse(this.worstFailure, result.val)
    }
    return failure
  }

  private makeResponse (response: AttemptResponse): AttemptResponse {
    const finish = (delivery: DeliveryOutcome): void => {
      if (delivery === 'whole') this.activeCall.suspect.recordCompleteResponse()
      response.finish(delivery)
    }
    return { targetResponse: response.targetResponse, finish }
  }

  /** An attempt for a caller that has left would use the budget in vain. */
  private decide (failure: Failure): RetryDecision {
    const { call, resolved, body, scope } = this.activeCall
    const { route, document, service } = resolved
    if (call.noRetry || scope.signal.aborted || failure.code === NESTED_NO_ROOM) return 'final'
    const decision = this.context.retry.decide({
      service,
      kind: route.kind,
      retries: document.retries,
      failure,
      attempt: this.attemptNumber,
      reached: this.reachedCount,
      attempts: route.attempts ?? document.retries.attempts,
      leftMs: scope.leftMs,
      canResend: !call.hasBody || body.canResend
    })
    if (failure.reached === true) {
      this.context.inbound.repeats.recordDecision(service, decision)
      this.hasAllowedRetry = typeof decision === 'number'
    }
    return decision
  }

  private finishRetry (hasReachedTarget: boolean): void {
    if (!this.hasAllowedRetry) return
    this.hasAllowedRetry = false
    this.context.retry.finishRetry(this.activeCall.resolved.service, hasReachedTarget)
  }

  private reportFailedAttempt (target: Target, failure: Failure, decision: RetryDecision): void {
    const { call, resolved: { service }, scope: { leftMs } } = this.activeCall
    this.context.onAttemptFailed?.({ call, service, target, number: this.attemptNumber, failure, decision, leftMs })
  }

  private makeFinalFailure (decision: 'final' | 'spent'): Failure | undefined {
    if (this.worstFailure === undefined) return undefined
    return this.attemptNumber > 1 || decision === 'spent' ? { ...this.worstFailure, noRetry: true } : this.worstFailure
  }

  private finish (failure: Failure | undefined): Result<AttemptResponse, Failure> {
    if (this.fallbackResponse !== undefined) return Ok(this.fallbackResponse)
    return Err(pickWorse(this.worstFailure, failure ?? makeNoTargetFailure(this.activeCall.resolved.service)))
  }
}

/** An attempt whose outcome is unknown may have reached its target. */
function hasReachedTarget (result: Result<AttemptResponse, Failure>): boolean {
  return result.ok || result.val.reached === true || result.val.verdict !== 'not-run'
}

/** Only a fully buffered response can be kept as the fallback while another attempt is made. */
function findServerError ({ statusCode, body }: TargetResponse): Failure | undefined {
  if (statusCode < FIRST_SERVER_ERROR_STATUS || !Buffer.isBuffer(body)) return undefined
  return { ...makeFailure('ran', statusCode, 'target_failed', `the target responded with status ${statusCode}`), reached: true }
}

const VERDICT_ORDER: readonly Verdict[] = ['not-run', 'may-have-run', 'ran']

/** Returns the failure to report for all attempts: an attempt that may have run takes precedence over one that did not run. */
function pickWorse (previous: Failure | undefined, current: Failure): Failure {
  if (previous === undefined) return current
  return VERDICT_ORDER.indexOf(previous.verdict) > VERDICT_ORDER.indexOf(current.verdict) ? previous : current
}
