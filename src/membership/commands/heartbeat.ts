/**
 * Heartbeats with the start time of their target and a sequence number, so that a delayed heartbeat, or a
 * heartbeat of an earlier process, changes nothing.
 */
import * as z from 'zod'
import type { LocalHost } from '../localhost.js'
import { announcementSchema, MAX_KNOWN_PROCESSES, startTimeSchema } from '../schema.js'
import type { Announcement, HostRecord, TargetProcess } from '../schema.js'
import { registerTarget } from './announce.js'

/** `startedAt`: wall-clock milliseconds at the target, 0 if the target does not send it. `sequence` increases with each heartbeat of a process. */
export const heartbeatSchema = announcementSchema.extend({ startedAt: startTimeSchema, sequence: z.number().int() })
export type Heartbeat = z.infer<typeof heartbeatSchema>

/** `late`: a later heartbeat of the same process came first. `earlier`: the process has been replaced by another one. */
export type HeartbeatOutcome = 'new' | 'taken' | 'late' | 'earlier'

export interface HeartbeatResult { outcome: HeartbeatOutcome, record?: HostRecord }

interface KnownProcess extends TargetProcess {
  /** The monotonic time of the last heartbeat or deregistration, or when the process was read from an earlier record. */
  lastHeardAt: number
}

/** After this time without a heartbeat, a heartbeat without a start time may come from another process with the same target id. */
const ID_REUSE_AFTER_MS = 5_000

/**
 * A process that was not heard for this time after its deregistration has ended, and a heartbeat that comes then is of another one. A
 * deregistration that is late itself would otherwise hide the next process with the same id for ever.
 */
const ENDED_AFTER_MS = 10_000

/** Tracks the newest process of each target of the local host. The record of the host names them, for the next process of the node. */
export class TargetProcesses {
  /** The process that was heard last is last. */
  private readonly processes = new Map<string, KnownProcess>()

  constructor (private readonly localHost: LocalHost) {}

  /** `at` is the local monotonic time. */
  receiveHeartbeat (heartbeat: Heartbeat, at: number): HeartbeatResult {
    const { startedAt, sequence, ...announcement } = heartbeat
    const { target } = announcement
    const current = this.processes.get(target)
    const isNew = current === undefined || startedAt > current.startedAt ||
      (startedAt === 0 && sequence < current.sequence && at - current.lastHeardAt > ID_REUSE_AFTER_MS)
    if (!isNew && startedAt < current.startedAt) return { outcome: 'earlier' }
    if (isNew && startedAt !== 0 && isOfDeregistered(current, startedAt, at)) return { outcome: 'late' }
    if (this.hasLaterTarget(target, startedAt)) return { outcome: 'earlier' }
    const isLeaving = announcement.state === 'leaving' || (!isNew && current.hasLeft)
    if (!isNew && sequence <= current.sequence && !isLeaving) return { outcome: 'late' }
    this.setProcess({
      target,
      startedAt,
      sequence: isNew ? sequence : Math.max(sequence, current.sequence),
      hasLeft: isLeaving,
      lastHeardAt: at,
      deregisteredAt: current?.deregisteredAt ?? 0
    })
    if (isNew) this.removeOtherTargets(target)
    const changed = registerTarget(this.localHost, isLeaving ? { ...announcement, state: 'leaving' } : announcement, at)
    const record = changed ?? (isNew ? this.localHost.makeRecord() : undefined)
    return { outcome: isNew ? 'new' : 'taken', ...record === undefined ? {} : { record } }
  }

  /**
   * Marks a target as leaving. No earlier heartbeat with the state `leaving` is needed. `startedAt` is 0 if the target does not send it;
   * then this may be a process of which this node has had no heartbeat yet, and `wallTime` tells its late heartbeats from those of a later
   * process.
   */
  deregister (target: string, startedAt: number, at: number, wallTime: number): HeartbeatResult {
    const current = this.processes.get(target)
    if (current !== undefined && startedAt !== 0 && startedAt < current.startedAt) return { outcome: 'earlier' }
    this.setProcess({
      target,
      startedAt: Math.max(startedAt, current?.startedAt ?? 0),
      sequence: current?.sequence ?? 0,
      hasLeft: true,
      lastHeardAt: at,
      deregisteredAt: startedAt === 0 ? wallTime : current?.deregisteredAt ?? 0
    })
    const announcement = this.localHost.findAnnouncement(target)
    const changed = announcement === undefined ? undefined : registerTarget(this.localHost, { ...announcement, state: 'leaving' }, at)
    return { outcome: 'taken', record: changed ?? this.localHost.makeRecord() }
  }

  /**
   * Takes over the processes that an earlier record of this host names. Returns a new record if a target that is registered has left
   * according to it.
   */
  adopt (processes: readonly TargetProcess[], at: number): HostRecord | undefined {
    for (const process of processes) this.adoptProcess(process, at)
    const left = this.localHost.listAnnouncements().filter(({ target, state }) => state !== 'leaving' && this.processes.get(target)?.hasLeft === true)
    return left.map((announcement): Announcement => ({ ...announcement, state: 'leaving' }))
      .map(announcement => registerTarget(this.localHost, announcement, at)).at(-1)
  }

  private adoptProcess (adopted: TargetProcess, at: number): void {
    const current = this.processes.get(adopted.target)
    const deregisteredAt = Math.max(adopted.deregisteredAt, current?.deregisteredAt ?? 0)
    if (current === undefined || current.startedAt < adopted.startedAt) this.setProcess({ ...adopted, deregisteredAt, lastHeardAt: at })
    else if (current.startedAt > adopted.startedAt) this.setProcess({ ...current, deregisteredAt })
    else {
      const sequence = Math.max(current.sequence, adopted.sequence)
      this.setProcess({ ...current, sequence, hasLeft: current.hasLeft || adopted.hasLeft, deregisteredAt })
    }
  }

  private setProcess (process: KnownProcess): void {
    this.processes.delete(process.target)
    this.processes.set(process.target, process)
    const [oldest] = this.processes.keys()
    if (this.processes.size > MAX_KNOWN_PROCESSES && oldest !== undefined) this.processes.delete(oldest)
    this.localHost.replaceProcesses([...this.processes.values()].map(({ lastHeardAt, ...known }) => known))
  }

  /** A host has one target at a time, so a target that started later has replaced this one. */
  private hasLaterTarget (target: string, startedAt: number): boolean {
    if (startedAt === 0) return false
    const isLater = ([other, candidate]: [string, KnownProcess]): boolean => other !== target && candidate.startedAt > startedAt
    return [...this.processes].some(entry => isLater(entry) && this.localHost.findAnnouncement(entry[0]) !== undefined)
  }

  private removeOtherTargets (target: string): void {
    for (const other of this.localHost.listHeartbeats()) if (other.target !== target) this.localHost.removeTarget(other.target)
  }
}

function isOfDeregistered (known: KnownProcess | undefined, startedAt: number, at: number): boolean {
  return known !== undefined && known.hasLeft && startedAt <= known.deregisteredAt && at - known.lastHeardAt <= ENDED_AFTER_MS
}
