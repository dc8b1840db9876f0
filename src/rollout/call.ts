/**
 * The targets that the attempts of one call may go to while a version of its service is rolled out, or while two versions exist without a
 * rollout.
 */
import type { Target } from '../membership/index.js'
import type { CountedVersion } from './counts.js'
import type { ServiceRollout } from './service.js'

/** The code of a rejection by a target whose version gets no new requests. */
export const VERSION_CLOSED = 'version_closed'

export type RolloutResult = 'answered' | 'failed' | 'refused' | 'cancelled'

export type OnRolloutRequest = (service: string, version: CountedVersion, result: RolloutResult) => void

export interface RolloutAttempt {
  target: Target
  route: string
  result: RolloutResult
  /** True if the request has or may have reached the target. */
  isReached: boolean
  elapsedMs: number | undefined
}

export class RolloutCall {
  private hasTriedCanary = false
  /** True while an attempt at a canary target is in flight that has been counted. */
  private isCounted = false
  private isServed = false
  private wasClosed = false

  /** Without a rollout, `targets` are those of the established version. */
  constructor (
    private readonly running: ServiceRollout | undefined, private readonly targets: readonly Target[], private readonly onRequest?: OnRolloutRequest
  ) {}

  /**
   * Returns the lists of targets for the next attempt, in the order of preference. `find` returns a target of a list; the first list with
   * one is used. `code` is that of the failure of the previous attempt.
   */
  pick (find: (targets: readonly Target[]) => Target | undefined, code?: string): Target | undefined {
    const { running } = this
    if (running === undefined) return find(this.targets)
    this.wasClosed ||= code === VERSION_CLOSED
    const { earlier, next, canary } = running.split(this.targets)
    switch (running.phaseInForce) {
      case 'switching': return this.findNext(find, next) ?? find(earlier)
      case 'canary': return this.findAfterClosed(find, next) ?? this.findCanary(find, canary) ?? find(earlier) ?? (running.hasEarlier ? undefined : find(next))
      // A service that has the new version only is not rolled out; its targets may serve.
      default: return find(earlier) ?? (running.hasEarlier ? undefined : find(next))
    }
  }

  /** Called once for each attempt at its end. */
  record ({ target, route, result, isReached, elapsedMs }: RolloutAttempt): void {
    const { running } = this
    if (running === undefined) return
    const version = running.isNext(target.version) ? 'next' : 'earlier'
    this.onRequest?.(target.service, version, result)
    if (isReached && !this.isServed) {
      this.isServed = true
      running.exposure.recordServed()
    }
    if (!isReached && this.isCounted && version === 'next') running.exposure.release()
    this.isCounted = false
    if (isReached && (result === 'answered' || result === 'failed')) running.counts.record(route, version, result === 'failed', elapsedMs)
  }

  private findNext (find: (targets: readonly Target[]) => Target | undefined, next: readonly Target[]): Target | undefined {
    const target = find(next)
    if (target !== undefined) this.running?.exposure.recordSent()
    this.isCounted = target !== undefined
    return target
  }

  /** The earlier version is closed, so the coordinator has decided to switch, and this node will hear of it. */
  private findAfterClosed (find: (targets: readonly Target[]) => Target | undefined, next: readonly Target[]): Target | undefined {
    return this.wasClosed ? this.findNext(find, next) : undefined
  }

  private findCanary (find: (targets: readonly Target[]) => Target | undefined, canary: readonly Target[]): Target | undefined {
    if (this.running === undefined || this.hasTriedCanary || canary.length === 0 || !this.running.exposure.acquire()) return undefined
    this.hasTriedCanary = true
    const target = find(canary)
    if (target === undefined) this.running.exposure.release()
    this.isCounted = target !== undefined
    return target
  }
}
