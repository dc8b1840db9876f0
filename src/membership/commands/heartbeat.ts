/**
 * Heartbeats that say when their target started and in which order they were sent, so that a late one,
 * or one of an earlier process, changes nothing.
 */
import { z } from 'zod'
import type { LocalHost } from '../localhost.js'
import { announcementSchema } from '../schema.js'
import type { HostRecord } from '../schema.js'
import { registerTarget } from './announce.js'

/** `startedAt`: wall-clock milliseconds at the target, 0 when it does not say. `sequence` rises with each heartbeat of one process. */
export const heartbeatSchema = announcementSchema.extend({ startedAt: z.number().int().nonnegative(), sequence: z.number().int() })
export type Heartbeat = z.infer<typeof heartbeatSchema>

/** `late`: an earlier heartbeat of the same process. `earlier`: of a process that another one has replaced. */
export type HeartbeatOutcome = 'new' | 'taken' | 'late' | 'earlier'

export interface HeartbeatResult { outcome: HeartbeatOutcome, record?: HostRecord }

interface TargetProcess { startedAt: number, sequence: number, hasLeft: boolean, lastHeartbeatAt: number }

/** A process that gives no start time and was silent for so long may be another one with the same id. */
const ID_REUSE_AFTER_MS = 5_000

/** The newest process of each target of this host. */
export class TargetProcesses {
  private readonly processes = new Map<string, TargetProcess>()

  constructor (private readonly localHost: LocalHost) {}

  /** `at` is local monotonic time. */
  receiveHeartbeat (heartbeat: Heartbeat, at: number): HeartbeatResult {
    const { startedAt, sequence, ...announcement } = heartbeat
    const { target } = announcement
    const life = this.processes.get(target)
    const isNew = life === undefined || startedAt > life.startedAt || (startedAt === 0 && sequence < life.sequence && at - life.lastHeartbeatAt > ID_REUSE_AFTER_MS)
    if (!isNew && startedAt < life.startedAt) return { outcome: 'earlier' }
    if (this.hasLaterTarget(target, startedAt)) return { outcome: 'earlier' }
    const isLeaving = announcement.state === 'leaving' || (!isNew && life.hasLeft)
    if (!isNew && sequence <= life.sequence && !isLeaving) return { outcome: 'late' }
    this.processes.set(target, { startedAt, sequence: isNew ? sequence : Math.max(sequence, life.sequence), hasLeft: isLeaving, lastHeartbeatAt: at })
    if (isNew) this.removeOtherTargets(target)
    const record = registerTarget(this.localHost, isLeaving ? { ...announcement, state: 'leaving' } : announcement, at)
    return { outcome: isNew ? 'new' : 'taken', ...record === undefined ? {} : { record } }
  }

  /** The target says that it goes, without a heartbeat that says so before. */
  deregister (target: string, startedAt: number, at: number): HeartbeatResult {
    const life = this.processes.get(target)
    if (life !== undefined && startedAt !== 0 && startedAt < life.startedAt) return { outcome: 'earlier' }
    this.processes.set(target, { startedAt: Math.max(startedAt, life?.startedAt ?? 0), sequence: life?.sequence ?? 0, hasLeft: true, lastHeartbeatAt: at })
    const held = this.localHost.findAnnouncement(target)
    const record = held === undefined ? undefined : registerTarget(this.localHost, { ...held, state: 'leaving' }, at)
    return { outcome: 'taken', ...record === undefined ? {} : { record } }
  }

  /** A host has one target at a time: one that started later has taken the place. */
  private hasLaterTarget (target: string, startedAt: number): boolean {
    if (startedAt === 0) return false
    const isLater = ([other, life]: [string, TargetProcess]): boolean => other !== target && life.startedAt > startedAt
    return [...this.processes].some(one => isLater(one) && this.localHost.findAnnouncement(one[0]) !== undefined)
  }

  private removeOtherTargets (target: string): void {
    for (const other of this.localHost.listHeartbeats()) if (other.target !== target) this.localHost.removeTarget(other.target)
  }
}
