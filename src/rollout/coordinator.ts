/**
 * The decisions of the coordinator of one rollout: the phase that the nodes get, and the outcome to write. Counts in reports are
 * cumulative and name the phase of their node, so a coordinator that takes over goes on from the first round of reports.
 */
import type { Clock } from '../core/index.js'
import { sumCounts } from './counts.js'
import { SequentialEvidence } from './evidence.js'
import type { Evidence, VersionEvidence } from './evidence.js'
import type { Rollout, RolloutPhase, RolloutReport, RolloutState } from './schema.js'

/** A report older than this says nothing about the targets of its host any more. */
const REPORT_VALID_MS = 2_000
/** Without a response of the store for this time, the rollout may have been replaced. */
const STORE_VALID_MS = 5_000
/** Nodes that get no response send nothing to the new version after 2 s, so after this time none does. */
const BACK_AFTER_MS = 3_000
/** Each report would otherwise sum the counts of all nodes. */
const JUDGE_INTERVAL_MS = 200
/**
 * When a version that shows no fault is accepted, and when one with few responses, or one that is suspected, is decided on: the least of a
 * part of the duration and the duration less what the switch and its write may take, but not before another part.
 */
const ACCEPT = { share: 0.6, leftMs: 15_000, leastShare: 0.4 } as const
const LAST = { share: 0.75, leftMs: 8_000, leastShare: 0.6 } as const
/** Ready targets of the new version, as a part of those of the earlier one, that can take over its load. */
const MIN_READY_SHARE = 0.8
/** Fewer responses of the new version than this are no reason to complete its rollout. */
const MIN_LAST_RESPONSES = 20
/** Bad responses within this time may have one cause that is not the version, as the crash of a host. */
const MIN_BAD_SPAN_MS = 1_000
/** Bad responses that are further apart are not of one span. */
const BAD_GAP_MS = 3_000
/** A host with targets of the earlier version that has been silent for this time has gone, if it is one of few. */
const GONE_AFTER_MS = 6_000
const MAX_GONE_SHARE = 0.1

interface HeldReport { report: RolloutReport, at: number }

/** The hosts that have targets of each version, by the host records of the coordinator. */
export interface RolloutHosts {
  earlier: readonly string[]
  next: readonly string[]
  /** Targets of the new version that are ready. */
  ready: number
}

export interface RolloutDecision { phase: RolloutPhase, reason: string, evidence: Evidence }

export class RolloutCoordinator {
  private readonly reports = new Map<string, HeldReport>()
  private readonly startedAt: number
  private phase: 'canary' | 'switching' | 'back' = 'canary'
  private phaseAt: number
  private confirmedAt: number
  private lastCheckedAt = -Infinity
  private judgedAt = -Infinity
  private reason = ''
  private hosts: RolloutHosts = { earlier: [], next: [], ready: 0 }
  private firstBadAt = Infinity
  private bad = 0
  private lastBadAt = -Infinity
  private evidence: Evidence = { judgement: 'unknown', bad: 0, responses: 0, reason: '' }

  constructor (readonly rollout: Rollout, private readonly clock: Clock, private readonly test: VersionEvidence = new SequentialEvidence()) {
    const now = clock.monotonic()
    this.startedAt = now - rollout.ageMs
    this.phaseAt = now
    this.confirmedAt = now
  }

  /** Called with the targets by the host records of this node, before each decision. */
  recordHosts (hosts: RolloutHosts): void {
    this.hosts = hosts
  }

  /** The time of the last call to the store. */
  get checkedAt (): number {
    return this.lastCheckedAt
  }

  /** Called before each call to the store. */
  markChecked (): void {
    this.lastCheckedAt = this.clock.monotonic()
  }

  /** Called when the store has shown that the rollout is still there. */
  recordConfirmation (): void {
    this.confirmedAt = this.clock.monotonic()
  }

  receive (report: RolloutReport): RolloutPhase {
    this.reports.set(`${report.host} ${report.incarnation}`, { report, at: this.clock.monotonic() })
    // Another coordinator has decided before. A rollback is never undone.
    if (report.phase === 'back') this.setPhase('back', 'decided before')
    if (report.phase === 'switching' && this.phase === 'canary') this.setPhase('switching', 'decided before')
    return this.decide().phase
  }

  decide (): RolloutDecision {
    if (this.phase !== 'back' && this.clock.monotonic() - this.judgedAt >= JUDGE_INTERVAL_MS) this.updatePhase()
    return { phase: this.visiblePhase, reason: this.reason, evidence: this.evidence }
  }

  /** Returns the status to write, undefined while some targets still have to be closed. */
  findOutcome (): RolloutState | undefined {
    const { hosts } = this
    if (this.phase === 'canary') return undefined
    if (this.phase === 'back') {
      const isOver = this.clock.monotonic() - this.phaseAt >= BACK_AFTER_MS
      return isOver || hosts.next.every(host => this.isClosed(host)) ? 'rolled_back' : undefined
    }
    const open = hosts.earlier.filter(host => !this.isIdle(host))
    const allowed = Math.floor(hosts.earlier.length * MAX_GONE_SHARE)
    return open.length === 0 || (open.length <= Math.max(1, allowed) && hosts.earlier.length > 1 && open.every(host => this.isGone(host))) ? 'completed' : undefined
  }

  /** A decided rollout stays decided without the store. */
  private get visiblePhase (): RolloutPhase {
    return this.phase === 'canary' && !this.isConfirmed ? 'held' : this.phase
  }

  private get isConfirmed (): boolean {
    return this.clock.monotonic() - this.confirmedAt < STORE_VALID_MS
  }

  private updatePhase (): void {
    const now = this.clock.monotonic()
    this.judgedAt = now
    this.evidence = this.test.measure(sumCounts([...this.reports.values()].map(({ report }) => report.routes)), this.phase === 'switching')
    const { judgement, bad, responses, reason } = this.evidence
    if (bad > this.bad) {
      if (now - this.lastBadAt > BAD_GAP_MS) this.firstBadAt = now
      this.lastBadAt = now
      this.bad = bad
    }
    if (judgement === 'bad' && this.lastBadAt - this.firstBadAt >= MIN_BAD_SPAN_MS) this.setPhase('back', reason)
    if (this.phase !== 'canary') return
    const ageMs = now - this.startedAt
    const isLast = ageMs >= this.computeTime(LAST)
    const canSwitch = this.isConfirmed && this.hosts.ready > 0 && (isLast || this.hosts.ready >= this.hosts.earlier.length * MIN_READY_SHARE)
    // Without the store, the rollout may have been replaced or withdrawn.
    if (ageMs >= this.computeTime(ACCEPT) && judgement === 'good' && canSwitch) this.setPhase('switching', 'as good as the earlier version')
    else if (isLast && judgement === 'unknown' && responses >= MIN_LAST_RESPONSES && canSwitch) this.setPhase('switching', 'no evidence against it')
    else if (ageMs >= this.rollout.durationMs) this.setPhase('back', 'the time has passed without a decision')
    else if (isLast && judgement === 'suspected') this.setPhase('back', reason)
  }

  private setPhase (phase: 'switching' | 'back', reason: string): void {
    if (this.phase === phase || this.phase === 'back') return
    this.phase = phase
    this.phaseAt = this.clock.monotonic()
    this.reason = reason
  }

  private computeTime ({ share, leftMs, leastShare }: typeof ACCEPT | typeof LAST): number {
    const { durationMs } = this.rollout
    return Math.max(durationMs * leastShare, Math.min(durationMs * share, durationMs - leftMs))
  }

  private findReport (host: string): HeldReport | undefined {
    return [...this.reports.values()].filter(({ report }) => report.host === host).sort((left, right) => right.at - left.at)[0]
  }

  private isClosed (host: string): boolean {
    const held = this.findReport(host)
    return held !== undefined && this.clock.monotonic() - held.at < REPORT_VALID_MS && held.report.phase === this.phase && held.report.local.isClosed
  }

  private isIdle (host: string): boolean {
    return this.isClosed(host) && this.findReport(host)?.report.local.inFlight === 0
  }

  private isGone (host: string): boolean {
    return this.clock.monotonic() - Math.max(this.phaseAt, this.findReport(host)?.at ?? 0) >= GONE_AFTER_MS
  }
}
