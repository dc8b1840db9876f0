/**
 * What callers, targets and the operator of a soak run saw, and the promises that it breaks. A violation is a sentence with the time
 * since the start of the run.
 */

import type { SharedRetryBudget } from '../../src/request/index.js'
import { measureExcess } from './repeats.js'

export type RequestKind = 'idempotent' | 'plain'

export interface RequestRecord {
  id: string
  service: string
  kind: RequestKind
  host: number
  sentAt: number
  /** A target made this request while it ran one that had reached a target before. */
  isOfRepeat: boolean
  /** Times at which the request reached a target, which may have rejected it. */
  arrivals: number[]
  /** Times at which a target began to run the request. */
  runs: number[]
  status?: number
  /** The connection ended without a complete response. */
  isCut?: boolean
}

/** Statuses which promise that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])
/** Time after the acknowledgement of a leaving target after which it gets no new request. */
const DRAIN_BOUND_MS = 2_500
/** By this time after its start a request has its response. */
const RESPONSE_TIME_MS = 2_000

export class SoakRecord {
  readonly violations: string[] = []
  private readonly requests = new Map<string, RequestRecord>()
  private readonly leftAt = new Map<string, number>()
  private readonly startedAt = performance.now()

  get elapsedMs (): number {
    return performance.now() - this.startedAt
  }

  get size (): number {
    return this.requests.size
  }

  countStatus (status: number): number {
    return [...this.requests.values()].filter(request => request.status === status).length
  }

  /** Makes the id of the request, by which callers and targets report on it. */
  beginRequest (service: string, kind: RequestKind, host: number, isOfRepeat = false): RequestRecord {
    const id = `r${this.requests.size + 1}`
    const request: RequestRecord = { id, service, kind, host, sentAt: this.elapsedMs, isOfRepeat, arrivals: [], runs: [] }
    this.requests.set(id, request)
    return request
  }

  /** Returns true if the request has reached a target before. */
  recordArrival (id: string): boolean {
    const arrivals = this.requests.get(id)?.arrivals ?? []
    return arrivals.push(this.elapsedMs) > 1
  }

  recordRun (target: string, id: string): void {
    const request = this.requests.get(id)
    if (request === undefined) {
      this.recordViolation(`${target} ran ${id}, which no caller sent`)
      return
    }
    request.runs.push(this.elapsedMs)
    const leftAt = this.leftAt.get(target)
    if (leftAt !== undefined && request.sentAt > leftAt + DRAIN_BOUND_MS) {
      this.recordViolation(`${target} ran ${id}, sent ${Math.round(request.sentAt - leftAt)} ms after its leaving was acknowledged`)
    }
    if (request.kind === 'plain' && request.runs.length > 1) this.recordViolation(`${id} ran ${request.runs.length} times, last at ${target}`)
  }

  recordLeft (target: string): void {
    this.leftAt.set(target, this.leftAt.get(target) ?? this.elapsedMs)
  }

  recordViolation (text: string): void {
    this.violations.push(`${(this.elapsedMs / 1_000).toFixed(2)} s: ${text}`)
  }

  /** Checks what holds only once nothing is in flight any more: a request may run after its response. */
  checkVerdicts (): void {
    for (const { id, status, runs } of this.requests.values()) {
      if (status !== undefined && NOT_RUN_STATUSES.has(status) && runs.length > 0) this.recordViolation(`${id} got ${status} and ran ${runs.length} times`)
    }
  }

  /** Checks that of the requests of the last `forMs`, which have had time to end, at least this share succeeded. */
  checkRecovery (forMs: number, minShare: number): void {
    const now = this.elapsedMs
    const recent = [...this.requests.values()].filter(({ sentAt }) => sentAt > now - forMs - RESPONSE_TIME_MS && sentAt < now - RESPONSE_TIME_MS)
    const succeeded = recent.filter(({ status }) => status === 200).length
    if (succeeded < minShare * recent.length || recent.length === 0) {
      this.recordViolation(`after the faults only ${succeeded} of ${recent.length} requests succeeded`)
    }
  }

  /** Checks that second arrivals at the targets of a service, and calls that repeated runs made to it, stay within its retry budget. */
  checkRepeats (service: string, budget: SharedRetryBudget): void {
    const requests = [...this.requests.values()].filter(request => request.service === service)
    const repeats = requests.flatMap(({ arrivals, isOfRepeat }) => arrivals.slice(isOfRepeat ? 0 : 1)).sort((left, right) => left - right)
    const excess = measureExcess({ requests: requests.map(({ sentAt }) => sentAt), repeats }, budget)
    if (excess > 0) this.recordViolation(`${service} got ${Math.ceil(excess)} repeats more than its budget of a window`)
  }

  /** Checks that a stop cut no request that had reached a target. */
  checkStop (host: number, from: number, to: number): void {
    for (const request of this.requests.values()) {
      if (request.host !== host || request.sentAt < from || request.sentAt > to || request.isCut !== true || request.runs.length === 0) continue
      this.recordViolation(`the stop of host ${host} cut ${request.id}, sent ${Math.round(request.sentAt - from)} ms after it began`)
    }
  }
}
