/**
 * Changes the record of the local host: its targets register and leave, and the host itself leaves. Each change is
 * announced to the store and the peers.
 *
 * The record has what the next process of the host must know, since that process begins with an empty memory while the targets go on. So
 * a starting node first takes over what the earlier records of its host say. Until then it makes no record, which would supersede
 * them, and changes wait.
 */
import type { Clock } from '../../core/index.js'
import { compareRecords, compareRecordStamps, markHostLeaving, registerTarget, replaceRecordMarks, supersedeRecord, TargetProcesses } from '../../membership/index.js'
import type { Announcement, Heartbeat, HeartbeatResult, HostRecord } from '../../membership/index.js'
import type { CrashTracker, LocalTargets } from '../../request/index.js'
import { replaceCrashMarks } from '../../suspect/index.js'
import type { RecordCopies } from '../copies.js'
import { listOwnMarks } from '../queries/marks.js'
import type { NotificationReach } from '../queries/notified.js'
import type { NodeState } from '../state.js'
import type { HostDirectory } from '../tasks/directory.js'
import type { PeerSynchronizer } from '../tasks/peers.js'
import type { NodeTelemetry } from '../telemetry.js'
import { listCrashMarks, storeLocalRecord } from './records.js'

export interface LocalHostContext {
  state: NodeState
  clock: Clock
  telemetry: NodeTelemetry
  localTargets: LocalTargets
  crashWatch: CrashTracker
  directory: HostDirectory
  peers: PeerSynchronizer
  copies: RecordCopies
}

/** Two nodes with the same host name supersede each other endlessly. This minimum interval bounds the load on the fleet. */
const SUPERSEDE_INTERVAL_MS = 500
/** Changes that wait for the recovery. A target repeats its heartbeats, so the last ones suffice. */
const MAX_WAITING_CHANGES = 16
/** Source of the marks of an earlier record, of which the other nodes have a copy. */
const EARLIER_RECORD = 'earlier record'

export class LocalHostRegistration {
  private readonly targetProcesses: TargetProcesses
  private supersededAt = -Infinity
  private leavingSince: number | undefined
  private waitingChanges: Array<() => void> = []
  /** The newest record of an earlier process that this node has taken over. */
  private adopted: HostRecord | undefined

  constructor (private readonly context: LocalHostContext) {
    this.targetProcesses = new TargetProcesses(context.state.localHost)
  }

  /** The monotonic time at which the host began to leave. */
  get leavingAt (): number | undefined {
    return this.leavingSince
  }

  /** True if the other nodes have not learned that the earlier process of this host ended. */
  get wasServing (): boolean {
    return this.adopted?.state === 'serving' && this.adopted.gone !== true
  }

  /** Handles an announcement of a target of the local host. */
  registerTarget (announcement: Announcement): void {
    const { state, clock } = this.context
    this.applyChange(() => {
      const record = registerTarget(state.localHost, announcement, clock.monotonic())
      this.applyHeartbeat(announcement.target, announcement.state, record === undefined ? { outcome: 'taken' } : { outcome: 'taken', record })
    })
  }

  /** Handles a heartbeat of the target on the local host, which has one target at a time. */
  receiveHeartbeat (heartbeat: Heartbeat): void {
    const { clock } = this.context
    this.applyChange(() => {
      this.applyHeartbeat(heartbeat.target, heartbeat.state, this.targetProcesses.receiveHeartbeat(heartbeat, clock.monotonic()))
    })
  }

  /** Marks a target of the local host as leaving. */
  deregisterTarget (target: string, startedAt: number): void {
    const { clock } = this.context
    const wallTime = clock.now()
    this.applyChange(() => {
      this.applyHeartbeat(target, 'deregistered', this.targetProcesses.deregister(target, startedAt, clock.monotonic(), wallTime))
    })
  }

  /** Resolves to true when another process has a copy of the newest record, and to false if none has one in time. */
  async awaitCopy (): Promise<boolean> {
    const { state, copies, telemetry } = this.context
    let record = state.localHost.newestRecord
    const hasCopy = await copies.awaitCopy(() => {
      record ??= state.localHost.newestRecord
      return record
    })
    if (!hasCopy) telemetry.recordMissingCopy(record)
    return hasCopy
  }

  /** Ends the recovery: announces the first record of this process, and then the changes that waited for it. */
  endRecovery (): void {
    const { state, telemetry } = this.context
    telemetry.recordRecovery(this.adopted)
    state.localHost.replaceMarks(listOwnMarks(state))
    const superseding = this.adopted === undefined ? undefined : supersedeRecord(state.localHost, this.adopted)
    this.announceRecord(superseding ?? state.localHost.makeRecord())
    const changes = this.waitingChanges
    this.waitingChanges = []
    for (const apply of changes) apply()
  }

  /** Announces a new record if the crash marks of the targets of this host have changed. */
  announceMarks (): void {
    const { state } = this.context
    if (!state.isRecovered) return
    const record = replaceRecordMarks(state.localHost, listOwnMarks(state))
    if (record !== undefined) this.announceRecord(record, 'many')
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
    this.applyChange(() => {
      const record = markHostLeaving(state.localHost)
      if (record === undefined) return
      telemetry.recordLeaving(inFlight)
      this.announceRecord(record)
      localTargets.applyLimits()
    })
    this.leavingSince ??= clock.monotonic()
    return this.leavingSince
  }

  /** Handles a record of this host from the store or a peer: one of an earlier process, one of this process, or a tombstone. */
  receiveOwnRecord (seen: HostRecord): void {
    const { localHost } = this.context.state
    if (!localHost.hasMade(seen) && (this.adopted === undefined || compareRecordStamps(seen, this.adopted) > 0)) this.adopt(seen)
    if (localHost.newestRecord !== undefined && compareRecords(seen, localHost.newestRecord) > 0) this.supersede(seen)
  }

  private adopt (seen: HostRecord): void {
    const { state, clock, localTargets } = this.context
    replaceCrashMarks(state.suspects, listCrashMarks(this.adopted), listCrashMarks(seen), EARLIER_RECORD)
    this.adopted = seen
    const record = this.targetProcesses.adopt(seen.processes, clock.monotonic())
    if (record === undefined) return
    this.announceRecord(record)
    localTargets.applyLimits()
  }

  /** Another node has a record of this host that supersedes the local one: a record of an earlier process, or a tombstone. */
  private supersede (seen: HostRecord): void {
    const { state, clock, telemetry } = this.context
    const at = clock.monotonic()
    if (at - this.supersededAt < SUPERSEDE_INTERVAL_MS) return
    this.supersededAt = at
    const record = supersedeRecord(state.localHost, seen)
    if (record === undefined) return
    telemetry.recordSuperseded(seen)
    this.announceRecord(record)
  }

  private announceRecord (record: HostRecord, reach: NotificationReach = record.state === 'leaving' ? 'many' : 'some'): void {
    const { state, clock, directory, peers, copies } = this.context
    storeLocalRecord(state, record, clock)
    directory.notifyChanged()
    void peers.notifyPeers({ records: [record] }, reach, () => { copies.recordShared(record) })
  }

  /** Changes that come before the end of the recovery wait for it, in their order. */
  private applyChange (apply: () => void): void {
    if (this.context.state.isRecovered) apply()
    else this.waitingChanges = [...this.waitingChanges, apply].slice(-MAX_WAITING_CHANGES)
  }

  private applyHeartbeat (target: string, state: string, result: HeartbeatResult): void {
    const { localTargets, telemetry } = this.context
    if (result.record !== undefined) {
      this.announceRecord(result.record)
      localTargets.applyLimits()
    }
    telemetry.recordHeartbeat(target, state, result)
  }
}
