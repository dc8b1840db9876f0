/**
 * Heartbeats with the start time of their target and a sequence number, so that a delayed heartbeat, or a
 * heartbeat of an earlier process, changes nothing.
 */
import * as z from 'zod'
import type { LocalHost } from '../localhost.js'
import { announcementSchema, startTimeSchema } from '../schema.js'
import type { HostRecord } from '../schema.js'
import { registerTarget } from './announce.js'

/** `startedAt`: wall-clock milliseconds at the target, 0 if the target does not send it. `sequence` increases with each heartbeat of a process. */
export const heartbeatSchema = announcementSchema.extend({ startedAt: startTimeSchema, sequence: z.number().int() })
export type Heartbeat = z.infer<typeof heartbeatSchema>

/** `late`: a later heartbeat of the same process came first. `earlier`: the process has been replaced by another one. */
export type HeartbeatOutcome = 'new' | 'taken' | 'late' | 'earlier'

export interface HeartbeatResult { outcome: HeartbeatOutcome, record?: HostRecord }

interface TargetProcess {
  /** 0 if it is not known. */
  startedAt: number
  sequence: number
  hasLeft: boolean
  /** The monotonic time of the last heartbeat or deregistration. */
  lastHeardAt: number
  /** The wall-clock time of the last deregistration without a start time, 0 if there was none. Processes that started until then have left. */
  deregisteredAt: number
}

/** After this time without a heartbeat, a heartbeat without a start time may come from another process with the same target id. */
const ID_REUSE_AFTER_MS = 5_000

/**
 * A process that was not heard for this time after its deregistration has ended, and a heartbeat that comes then is of another one. A
 * deregistration that is late itself would otherwise hide the next process with the same id for ever.
 */
const ENDED_AFTER_MS = 10_000

/** Tracks the newest process of each target of the local host. */
export class TargetProcesses {
  private readonly processes = new Map<string, TargetProcess>()

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
    this.processes.set(target, {
      startedAt,
      sequence: isNew ? sequence : Math.max(sequence, current.sequence),
      hasLeft: isLeaving,
      lastHeardAt: at,
      deregisteredAt: current?.deregisteredAt ?? 0
    })
    if (isNew) this.removeOtherTargets(target)
    const record = registerTarget(this.localHost, isLeaving ? { ...announcement, state: 'leaving' } : announcement, at)
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
    this.processes.set(target, {
      startedAt: Math.max(startedAt, current?.startedAt ?? 0),
      sequence: current?.sequence ?? 0,
      hasLeft: true,
      lastHeardAt: at,
      deregisteredAt: startedAt === 0 ? wallTime : current?.deregisteredAt ?? 0
    })
    const announcement = this.localHost.findAnnouncement(target)
    const record = announcement === undefined ? undefined : registerTarget(this.localHost, { ...announcement, state: 'leaving' }, at)
    return { outcome: 'taken', ...record === undefined ? {} : { record } }
  }

  /** A host has one target at a time, so a target that started later has replaced this one. */
  private hasLaterTarget (target: string, startedAt: number): boolean {
    if (startedAt === 0) return false
    const isLater = ([other, candidate]: [string, TargetProcess]): boolean => other !== target && candidate.startedAt > startedAt
    return [...this.processes].some(entry => isLater(entry) && this.localHost.findAnnouncement(entry[0]) !== undefined)
  }

  private removeOtherTargets (target: string): void {
    for (const other of this.localHost.listHeartbeats()) if (other.target !== target) this.localHost.removeTarget(other.target)
  }
}

function isOfDeregistered (known: TargetProcess | undefined, startedAt: number, at: number): boolean {
  return known !== undefined && known.hasLeft && startedAt <= known.deregisteredAt && at - known.lastHeardAt <= ENDED_AFTER_MS
}
