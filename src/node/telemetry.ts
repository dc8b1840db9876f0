/**
 * Telemetry of a node: log lines, timeline events and metrics for decisions on requests and for changes
 * of the node's state.
 */
import type { Configuration } from '../configuration/index.js'
import { describeError, JsonStructuredLog } from '../core/index.js'
import type { Clock, Failure, StructuredLog } from '../core/index.js'
import type { Announcement, HeartbeatResult, HostRecord } from '../membership/index.js'
import { Metrics } from '../metrics/index.js'
import type { Call, EntryState, FailedAttempt, RepeatCounts } from '../request/index.js'
import type { Rollout } from '../rollout/index.js'
import type { Entry } from '../snapshot/index.js'
import { EventRecorder, EventRing } from '../timeline/index.js'
import type { EventDetail } from '../timeline/index.js'
import type { ApplyResult } from './commands/apply.js'
import { QuotaTelemetry } from './quotatelemetry.js'
import type { NodeState } from './state.js'

/** Unreadable parts of one version that are logged. */
const MAX_LOGGED_PARTS = 20

export class NodeTelemetry {
  readonly log: StructuredLog
  readonly metrics = new Metrics()
  readonly eventRing = new EventRing()
  readonly recorder: EventRecorder
  readonly quota: QuotaTelemetry
  private hasAppliedConfiguration = false
  private hasCalledStore = false
  private hasExchanged = false

  constructor (private readonly state: NodeState, private readonly clock: Clock) {
    const { host, zone } = state.identity
    this.log = new JsonStructuredLog(host, clock)
    this.quota = new QuotaTelemetry(this.log, this.metrics)
    this.recorder = new EventRecorder(this.eventRing, state.time, host, zone)
  }

  recordStart (): void {
    const { zone, region } = this.state.identity
    this.log.log('change', 'node_started', { zone, region, pid: process.pid })
    this.recorder.record('node-started', `zone ${zone}`)
  }

  /** Logs the first call only: with the next lines it shows on which part of a slow start the time was spent. */
  recordStoreCall (call: string, kind: string): void {
    this.metrics.count('store_calls_total', { call, kind })
    if (this.hasCalledStore) return
    this.hasCalledStore = true
    this.log.log('change', 'first_store_call', { call, kind })
  }

  /** Logs the first exchange that a peer requested. */
  recordExchange (peer: string): void {
    if (this.hasExchanged) return
    this.hasExchanged = true
    this.log.log('change', 'first_exchange', { peer })
  }

  recordReady (): void {
    this.log.log('change', 'node_ready', { version: this.state.version })
    this.recorder.record('node-ready', 'serves callers')
  }

  /** `inFlight` requests were admitted before. */
  recordLeaving (inFlight: number): void {
    this.log.log('change', 'host_leaving', { inFlight })
  }

  recordStopping (inFlight: number, drainMs: number): void {
    this.log.log('change', 'node_stopping', { inFlight, drainMs })
    this.recorder.record('node-stopping', 'draining')
  }

  recordSourceState (isResponding: boolean): void {
    if (isResponding) this.recorder.record('source-back', 'the store responds')
    else this.recorder.record('source-lost', 'the store does not respond')
  }

  recordConfiguration (configuration: Configuration, { staged, applied, pending }: ApplyResult, from: string): void {
    const { version, entries, position, accounts, unreadable = [] } = configuration
    const counts = { services: entries.length, changed: applied.length, held: pending.length, accounts: accounts?.length }
    this.log.log('change', 'configuration_applied', { version, from, ...counts, ...position })
    for (const { kind, name, reason } of unreadable.slice(0, MAX_LOGGED_PARTS)) {
      this.log.log('change', 'configuration_part_unreadable', { version, kind, name, reason })
    }
    this.metrics.count('configuration_parts_unreadable_total', {}, unreadable.length)
    for (const entry of staged) this.recorder.record('document-staged', `from ${from}`, getEventDetail(entry))
    for (const entry of applied) {
      this.recorder.record('document-applied', 'in force', getEventDetail(entry))
      // The first configuration of a starting node is not observed, since it was accepted before the node could apply it.
      if (entry.acceptedAt > 0 && this.hasAppliedConfiguration) this.metrics.observe('convergence_ms', this.clock.now() - entry.acceptedAt)
    }
    this.hasAppliedConfiguration = true
    for (const entry of pending.filter(candidate => staged.includes(candidate))) {
      this.recorder.record('document-held', 'it refers to a service that does not exist on this node', getEventDetail(entry))
    }
  }

  recordInvalidConfiguration (reason: string): void {
    this.log.log('change', 'configuration_faulty', { reason, kept: this.state.version })
    this.recorder.record('document-refused', reason)
  }

  /** A deregistration is always logged, since it also decides on later heartbeats of a target that this node does not know. */
  recordHeartbeat (target: string, state: string, { outcome, record }: HeartbeatResult): void {
    if (record === undefined && outcome === 'taken' && state !== 'deregistered') return
    this.log.log('change', 'target_heard', { target, state, as: outcome, recordSequence: record?.sequence })
    if (record !== undefined) this.recorder.record(state === 'ready' ? 'target-joined' : 'target-leaving', target, { host: record.host })
  }

  recordExpiredTarget ({ target, service }: Announcement, heartbeatTimeoutMs: number): void {
    this.log.log('change', 'target_silent', { target, silenceMs: heartbeatTimeoutMs })
    this.recorder.record('target-gone', target, { service, host: this.state.identity.host })
  }

  /** `earlier` is the newest record of an earlier process of this host. */
  recordRecovery (earlier: HostRecord | undefined): void {
    const { incarnation, sequence, processes, marks } = earlier ?? {}
    const left = processes?.filter(({ hasLeft }) => hasLeft).map(({ target }) => target).join(', ')
    this.log.log('change', 'node_recovered', { incarnation, sequence, left, marks: marks?.length, peers: this.state.listPeers().length })
  }

  /** `record` is absent if this node has not recovered in time. */
  recordMissingCopy (record: HostRecord | undefined): void {
    this.log.log('failure', 'record_not_copied', { incarnation: record?.incarnation, sequence: record?.sequence, hasSource: this.state.hasSource })
  }

  recordSuperseded ({ incarnation, sequence, gone, peer }: HostRecord): void {
    this.log.log('change', 'own_record_outranked', { incarnation, sequence, gone: gone ?? false, peer })
    this.recorder.record('target-joined', 'announced again: superseded by another record of this host', { host: this.state.identity.host })
  }

  /** `origin` is the task that failed, or where the process caught the error. */
  recordUnexpectedError (origin: string, error: unknown): void {
    this.metrics.count('unexpected_errors_total', { origin })
    const place = error instanceof Error ? error.stack?.split('\n')[1]?.trim() : undefined
    this.log.log('failure', 'unexpected_error', { origin, reason: describeError(error), place })
  }

  logFailedAttempt ({ call, service, target, number, failure, decision, leftMs }: FailedAttempt): void {
    this.log.log('detail', 'attempt_failed', {
      request: call.request,
      service,
      target: target.id,
      attempt: number,
      verdict: failure.verdict,
      code: failure.code,
      reached: failure.reached ?? false,
      message: failure.message,
      leftMs: Math.round(leftMs),
      next: typeof decision === 'number' ? 'another target' : decision
    })
  }

  /** Logs the counts of the last second for each service that had repeats. Metrics have the sums of all services. */
  recordRepeats (counts: ReadonlyMap<string, RepeatCounts>): void {
    for (const [service, serviceCounts] of counts) {
      const { calls, callsOfRepeats, repeats, denied, arrivals, repeatedArrivals } = serviceCounts
      this.metrics.count('service_calls_total', { service }, calls)
      this.metrics.count('repeats_total', { service, decision: 'made' }, repeats)
      this.metrics.count('repeats_total', { service, decision: 'denied' }, denied)
      this.metrics.count('arrivals_total', { service, repeated: 'no' }, arrivals - repeatedArrivals)
      this.metrics.count('arrivals_total', { service, repeated: 'yes' }, repeatedArrivals)
      this.metrics.count('calls_of_repeats_total', { service }, callsOfRepeats)
      if (callsOfRepeats + repeats + denied + repeatedArrivals === 0) continue
      const fields = { calls, callsOfRepeats: Math.round(callsOfRepeats * 10) / 10, repeats, denied, arrivals, repeatedArrivals }
      this.log.log('summary', 'repeats_counted', { service, ...fields, nodes: this.state.members.size })
    }
  }

  recordRolloutPhase ({ service, newVersion }: Rollout, phase: string): void {
    this.log.log('change', 'rollout_phase', { service, version: newVersion, phase })
  }

  /** Logged by the coordinator when it has written the state of the rollout. */
  recordRolloutDecision ({ service, newVersion }: Rollout, state: string, reason: string): void {
    this.log.log('change', 'rollout_decided', { service, version: newVersion, state, reason })
  }

  recordRolloutFault ({ service, newVersion }: Rollout, reason: string): void {
    this.log.log('failure', 'rollout_store_failed', { service, version: newVersion, reason })
  }

  recordRolloutRequest (service: string, version: string, result: string): void {
    this.metrics.count('rollout_requests_total', { service, version, result })
  }

  recordOverloadState ({ service, group, isRefusing }: EntryState): void {
    this.log.log('change', 'overload_state', { service, class: group, state: isRefusing ? 'refusing' : 'open' })
  }

  /** The request was rejected by its head alone, before its route was looked up. */
  recordRejectedHead ({ code, status, message }: Failure): void {
    this.metrics.count('rejected_heads_total', { code })
    this.log.log('failure', 'head_rejected', { code, status, message })
  }

  recordFailedCall (call: Call, { verdict, code, message, status, retryAfterMs }: Failure): void {
    this.recorder.record('call-failed', `${verdict} ${code}: ${message}`, { service: call.service, request: call.request })
    this.log.log('failure', 'request_failed', {
      request: call.request,
      method: call.method,
      path: call.path,
      verdict,
      code,
      status,
      message,
      retryAfterMs,
      deadlineMs: call.deadlineMs,
      version: this.state.version,
      newestSeen: this.state.newestSeenVersion
    })
  }
}

function getEventDetail ({ service, version }: Entry): EventDetail {
  return { service, version }
}
