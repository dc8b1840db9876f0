/**
 * The rollout of one service on one node.
 */
import { getOrMake } from '../core/index.js'
import type { Clock } from '../core/index.js'
import type { Target } from '../membership/index.js'
import { ResponseCounts } from './counts.js'
import { selectEstablished, splitByVersion } from './queries/versions.js'
import type { VersionTargets } from './queries/versions.js'
import type { Rollout, RolloutBounds, RolloutPhase, RolloutReport } from './schema.js'
import { ExposureLimit } from './share.js'

/** A target is slow after its start, which says nothing about its version. */
const WARM_UP_MS = 4_000
/** The time for which the same targets of the new version get the work. */
const TURN_MS = 5_000
const SPLIT_VALID_MS = 500
/**
 * Without a response of the coordinator for this time, a node sends nothing to the new version. Nodes report twice a second, and a decision
 * takes up to 1.5 s, so the last request comes before the end of the time for a rollback.
 */
const SILENCE_MS = 2_000
const MAX_SILENCE_SHARE = 0.4

export type LocalTargetsReport = RolloutReport['local']

const PHASE_RANKS: Readonly<Record<RolloutPhase, number>> = { held: 0, canary: 0, switching: 1, back: 2 }

export class ServiceRollout {
  readonly counts = new ResponseCounts()
  readonly exposure: ExposureLimit
  private known: Rollout
  private readonly createdAt: number
  private readonly silenceMs: number
  /** True while a report is under way. */
  isReporting = false
  private phase: RolloutPhase = 'held'
  private answeredAt = -Infinity
  private splits = new WeakMap<readonly Target[], { split: VersionTargets, until: number }>()
  private readonly readyTimes = new Map<string, number>()
  /** Versions that were served beside the new one. After the end they are not those of a later replacement. */
  private readonly earlierVersions = new Set<string | undefined>()

  constructor (rollout: Rollout, private readonly clock: Clock, { exposeShare, rollbackMs }: RolloutBounds) {
    this.silenceMs = Math.min(SILENCE_MS, rollbackMs * MAX_SILENCE_SHARE)
    this.known = rollout
    this.createdAt = clock.monotonic() - rollout.ageMs
    this.exposure = new ExposureLimit(exposeShare)
  }

  get rollout (): Rollout {
    return this.known
  }

  /** The rollout with its present age. */
  get current (): Rollout {
    return { ...this.known, ageMs: Math.max(0, this.clock.monotonic() - this.createdAt) }
  }

  /** True if the coordinator has responded lately. */
  get isAnswered (): boolean {
    return this.clock.monotonic() - this.answeredAt < this.silenceMs
  }

  /** The phase that is in force here. A decision stays in force without the coordinator, a share for the new version does not. */
  get phaseInForce (): RolloutPhase {
    if (this.known.state === 'completed') return 'switching'
    if (this.known.state === 'rolled_back') return 'back'
    return this.phase === 'canary' && !this.isAnswered ? 'held' : this.phase
  }

  /** True if this node has seen another version beside the new one. */
  get hasEarlier (): boolean {
    return this.earlierVersions.size > 0
  }

  update (rollout: Rollout): void {
    this.known = rollout
    this.splits = new WeakMap()
  }

  /** Returns true if the phase changed. A decision is not undone by a coordinator that does not know of it, a switch only by a rollback. */
  receivePhase (phase: RolloutPhase, askedAt: number): boolean {
    this.answeredAt = Math.max(this.answeredAt, askedAt)
    if (phase === this.phase || PHASE_RANKS[phase] < PHASE_RANKS[this.phase]) return false
    this.phase = phase
    return true
  }

  isNext (version: string | undefined): boolean {
    return version === this.known.newVersion
  }

  /** `targets` are all targets of the service. */
  isClosed (version: string | undefined, targets: readonly Target[]): boolean {
    const phase = this.phaseInForce
    if (this.isNext(version)) return phase === 'back'
    if (this.known.state === 'running') this.earlierVersions.add(version)
    return phase === 'switching' && this.isBarred(version, targets)
  }

  /** True if calls may go to targets of the version without a share. */
  isServed (version: string | undefined, targets: readonly Target[]): boolean {
    const { earlier, next } = this.split(targets)
    const list = this.phaseInForce === 'switching' && next.length > 0 ? next : earlier
    return list.some(target => target.version === version)
  }

  /** The targets of each version. Another version that no rollout allows gets nothing. */
  split (targets: readonly Target[]): VersionTargets {
    const now = this.clock.monotonic()
    const existing = this.splits.get(targets)
    if (existing !== undefined && now < existing.until) return existing.split
    const split = this.makeSplit(targets, now)
    this.splits.set(targets, { split, until: now + SPLIT_VALID_MS })
    return split
  }

  makeReport (host: string, incarnation: number, local: LocalTargetsReport): RolloutReport {
    const { service, id } = this.known
    return { host, incarnation, service, id, phase: this.phaseInForce, routes: this.counts.list(), local }
  }

  private makeSplit (targets: readonly Target[], now: number): VersionTargets {
    const turn = Math.floor((now - this.createdAt) / TURN_MS)
    const isWarm = (target: Target): boolean => now - this.getReadyTime(target, now) >= WARM_UP_MS
    const { earlier, next, canary } = splitByVersion(targets, this.known, { share: this.exposure.share, turn, isWarm })
    if (this.known.state === 'running') for (const { version } of earlier) this.earlierVersions.add(version)
    const allowed = this.known.state === 'completed' ? earlier.filter(({ version }) => !this.isBarred(version, next)) : earlier
    return { earlier: selectEstablished(allowed), next, canary }
  }

  /** Returns the time at which this node first saw the target ready. */
  private getReadyTime ({ id }: Target, now: number): number {
    return getOrMake(this.readyTimes, id, () => now)
  }

  /** After the end, another version serves only if it has replaced all targets of the new one. */
  private isBarred (version: string | undefined, targets: readonly Target[]): boolean {
    if (this.known.state !== 'completed' || this.earlierVersions.has(version)) return true
    return targets.some(target => this.isNext(target.version) && target.state !== 'leaving')
  }
}
