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
export type HeardAs = 'new' | 'taken' | 'late' | 'earlier'

export interface HeartbeatResult { as: HeardAs, record?: HostRecord }

interface Life { startedAt: number, sequence: number, hasLeft: boolean, heardAt: number }

/** A process that gives no start time and was silent for so long may be another one with the same id. */
const SILENT_MS = 5_000

/** The newest process of each target of this host. */
export class TargetProcesses {
  private readonly lives = new Map<string, Life>()

  constructor (private readonly own: LocalHost) {}

  /** `at` is local monotonic time. */
  receiveHeartbeat (heartbeat: Heartbeat, at: number): HeartbeatResult {
    const { startedAt, sequence, ...announcement } = heartbeat
    const { target } = announcement
    const life = this.lives.get(target)
    const isNew = life === undefined || startedAt > life.startedAt || (startedAt === 0 && sequence < life.sequence && at - life.heardAt > SILENT_MS)
    if (!isNew && startedAt < life.startedAt) return { as: 'earlier' }
    if (this.hasSuccessor(target, startedAt)) return { as: 'earlier' }
    const isLeaving = announcement.state === 'leaving' || (!isNew && life.hasLeft)
    if (!isNew && sequence <= life.sequence && !isLeaving) return { as: 'late' }
    this.lives.set(target, { startedAt, sequence: isNew ? sequence : Math.max(sequence, life.sequence), hasLeft: isLeaving, heardAt: at })
    if (isNew) this.forgetOthers(target)
    const record = registerTarget(this.own, isLeaving ? { ...announcement, state: 'leaving' } : announcement, at)
    return { as: isNew ? 'new' : 'taken', ...record === undefined ? {} : { record } }
  }

  /** The target says that it goes, without a heartbeat that says so before. */
  deregister (target: string, startedAt: number, at: number): HeartbeatResult {
    const life = this.lives.get(target)
    if (life !== undefined && startedAt !== 0 && startedAt < life.startedAt) return { as: 'earlier' }
    this.lives.set(target, { startedAt: Math.max(startedAt, life?.startedAt ?? 0), sequence: life?.sequence ?? 0, hasLeft: true, heardAt: at })
    const held = this.own.findAnnouncement(target)
    const record = held === undefined ? undefined : registerTarget(this.own, { ...held, state: 'leaving' }, at)
    return { as: 'taken', ...record === undefined ? {} : { record } }
  }

  /** A host has one target at a time: one that started later has taken the place. */
  private hasSuccessor (target: string, startedAt: number): boolean {
    if (startedAt === 0) return false
    const isLater = ([other, life]: [string, Life]): boolean => other !== target && life.startedAt > startedAt
    return [...this.lives].some(one => isLater(one) && this.own.findAnnouncement(one[0]) !== undefined)
  }

  private forgetOthers (target: string): void {
    for (const other of this.own.listHeartbeats()) if (other.target !== target) this.own.forget(other.target)
  }
}
