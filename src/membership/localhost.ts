/**
 * The local host of a node and its record. Only this class increments the incarnation and sequence.
 */
import type { Announcement, HostRecord, RecordMark, RecordStamp, TargetProcess } from './schema.js'

export type HostIdentity = Pick<HostRecord, 'host' | 'zone' | 'region' | 'inbound' | 'peer' | 'admin' | 'incarnation'>

interface RegisteredTarget { announcement: Announcement, at: number }

export class LocalHost {
  private readonly registeredTargets = new Map<string, RegisteredTarget>()
  private processes: readonly TargetProcess[] = []
  private marks: readonly RecordMark[] = []
  private incarnation: number
  /** All incarnations of the records of this process. */
  private readonly incarnations = new Set<number>()
  private sequence = 0
  private lastRecord: HostRecord | undefined
  private leaving = false

  constructor (private readonly identity: HostIdentity) {
    this.incarnation = identity.incarnation
  }

  get isLeaving (): boolean {
    return this.leaving
  }

  get host (): string {
    return this.identity.host
  }

  /** The last record that this process made. */
  get newestRecord (): HostRecord | undefined {
    return this.lastRecord
  }

  /** False for a tombstone, which another node has made, and for a record of another process. */
  hasMade ({ incarnation, gone }: RecordStamp): boolean {
    return gone !== true && this.incarnations.has(incarnation)
  }

  findAnnouncement (target: string): Announcement | undefined {
    return this.registeredTargets.get(target)?.announcement
  }

  /** Returns the name of the present process of a target, which tells it from another one with the same target id. */
  formatProcess (target: string): string {
    const startedAt = this.processes.find(process => process.target === target)?.startedAt ?? 0
    return startedAt === 0 ? target : `${target}@${startedAt}`
  }

  listAnnouncements (): Announcement[] {
    return [...this.registeredTargets.values()].map(({ announcement }) => announcement)
  }

  /** Returns the time of the last heartbeat of each target, on the monotonic clock. */
  listHeartbeats (): Array<{ target: string, at: number }> {
    return [...this.registeredTargets].map(([target, registration]) => ({ target, at: registration.at }))
  }

  /** Commands only: see commands/announce.ts. Returns true if the announcement changed. */
  recordAnnouncement (announcement: Announcement, at: number): boolean {
    const previous = this.registeredTargets.get(announcement.target)
    this.registeredTargets.set(announcement.target, { announcement, at })
    return JSON.stringify(previous?.announcement) !== JSON.stringify(announcement)
  }

  /** Commands only: see commands/announce.ts. */
  removeTarget (target: string): boolean {
    return this.registeredTargets.delete(target)
  }

  /** Commands only: see commands/heartbeat.ts. The next record has them. */
  replaceProcesses (processes: readonly TargetProcess[]): void {
    this.processes = processes
  }

  /** Commands only: see commands/mark.ts. Returns true if the marks changed. The next record has them. */
  replaceMarks (marks: readonly RecordMark[]): boolean {
    const hasChanged = JSON.stringify(this.marks) !== JSON.stringify(marks)
    this.marks = marks
    return hasChanged
  }

  /** Commands only: see commands/leave.ts. Returns false if the host was already leaving. */
  markLeaving (): boolean {
    if (this.leaving) return false
    this.leaving = true
    return true
  }

  /** Commands only: see commands/supersede.ts. */
  supersedeIncarnation (incarnation: number): void {
    if (incarnation < this.incarnation) return
    this.incarnation = incarnation + 1
    this.sequence = 0
  }

  /** Returns a record that supersedes all earlier records of this process. */
  makeRecord (): HostRecord {
    this.sequence += 1
    this.incarnations.add(this.incarnation)
    this.lastRecord = {
      ...this.identity,
      incarnation: this.incarnation,
      sequence: this.sequence,
      state: this.leaving ? 'leaving' : 'serving',
      targets: [...this.registeredTargets.values()].map(registration => registration.announcement),
      processes: [...this.processes],
      marks: [...this.marks]
    }
    return this.lastRecord
  }
}
