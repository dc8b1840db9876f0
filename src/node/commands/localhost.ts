/**
 * Changes the record of the local host: its targets register and leave, and the host itself leaves. Each change is
 * announced to the store and the peers.
 */
import type { Clock } from '../../core/index.js'
import { markHostLeaving, registerTarget, supersedeRecord, TargetProcesses } from '../../membership/index.js'
import type { Announcement, Heartbeat, HeartbeatResult, HostRecord } from '../../membership/index.js'
import type { CrashTracker, LocalTargets } from '../../request/index.js'
import type { NodeState } from '../state.js'
import type { HostDirectory } from '../tasks/directory.js'
import type { PeerSynchronizer } from '../tasks/peers.js'
import type { NodeTelemetry } from '../telemetry.js'
import { storeLocalRecord } from './records.js'

export interface LocalHostContext {
  state: NodeState
  clock: Clock
  telemetry: NodeTelemetry
  localTargets: LocalTargets
  crashWatch: CrashTracker
  directory: HostDirectory
  peers: PeerSynchronizer
}

/** Two nodes with the same host name supersede each other endlessly. This minimum interval bounds the load on the fleet. */
const SUPERSEDE_INTERVAL_MS = 500

export class LocalHostRegistration {
  private readonly targetProcesses: TargetProcesses
  private supersededAt = -Infinity
  private leavingSince: number | undefined

  constructor (private readonly context: LocalHostContext) {
    this.targetProcesses = new TargetProcesses(context.state.localHost)
  }

  /** The monotonic time at which the host began to leave. */
  get leavingAt (): number | undefined {
    return this.leavingSince
  }

  /** Handles an announcement of a target of the local host. */
  registerTarget (announcement: Announcement): void {
    const { state, clock } = this.context
    const record = registerTarget(state.localHost, announcement, clock.monotonic())
    this.applyHeartbeat(announcement.target, announcement.state, record === undefined ? { outcome: 'taken' } : { outcome: 'taken', record })
  }

  /** Handles a heartbeat of the target on the local host, which has one target at a time. */
  receiveHeartbeat (heartbeat: Heartbeat): HeartbeatResult {
    return this.applyHeartbeat(heartbeat.target, heartbeat.state, this.targetProcesses.receiveHeartbeat(heartbeat, this.context.clock.monotonic()))
  }

  /** Marks a target of the local host as leaving. */
  deregisterTarget (target: string, startedAt: number): HeartbeatResult {
    const { clock } = this.context
    return this.applyHeartbeat(target, 'deregistered', this.targetProcesses.deregister(target, startedAt, clock.monotonic(), clock.now()))
  }

  /** Handles targets whose heartbeats stopped. */
  expireTargets (expired: readonly Announcement[], heartbeatTimeoutMs: number): void {
    const { state, telemetry, localTargets, crashWatch } = this.context
    for (const announcement of expired) {
      crashWatch.markCrashed(announcement.target)
      telemetry.recordExpiredTarget(announcement, heartbeatTimeoutMs)
    }
    this.announceRecord(state.localHost.makeRecord())
    localTargets.applyLimits()
  }

  /** Notifies the peers once that this host is leaving. Returns the monotonic time at which it began to leave. */
  startLeaving (inFlight: number): number {
    const { state, clock, telemetry, localTargets } = this.context
    const record = markHostLeaving(state.localHost)
    if (record !== undefined) {
      telemetry.recordLeaving(inFlight)
      this.announceRecord(record)
      localTargets.applyLimits()
    }
    this.leavingSince ??= clock.monotonic()
    return this.leavingSince
  }

  /** Another node has a record of this host that supersedes the local one: a record of an earlier process, or a tombstone. */
  supersede (seen: HostRecord): void {
    const { state, clock, telemetry } = this.context
    const at = clock.monotonic()
    if (at - this.supersededAt < SUPERSEDE_INTERVAL_MS) return
    this.supersededAt = at
    const record = supersedeRecord(state.localHost, seen)
    if (record === undefined) return
    telemetry.recordSuperseded(seen)
    this.announceRecord(record)
  }

  announceRecord (record: HostRecord): void {
    const { state, clock, directory, peers } = this.context
    storeLocalRecord(state, record, clock)
    directory.notifyChanged()
    void peers.notifyPeers({ records: [record] }, record.state === 'leaving' ? 'many' : 'some')
  }

  private applyHeartbeat (target: string, state: string, result: HeartbeatResult): HeartbeatResult {
    const { localTargets, telemetry } = this.context
    if (result.record !== undefined) {
      this.announceRecord(result.record)
      localTargets.applyLimits()
    }
    telemetry.recordHeartbeat(target, state, result)
    return result
  }
}
