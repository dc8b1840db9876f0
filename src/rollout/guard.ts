/**
 * The part of each node in rollouts: which targets a call may go to, what this node counts, and whether the slots of a local target are
 * closed. Without a rollout and with one version of a service, a call costs one look-up by its list of targets.
 */
import type { Clock } from '../core/index.js'
import type { Announcement, Target } from '../membership/index.js'
import { comparePositions } from '../store/index.js'
import type { StorePosition } from '../store/index.js'
import { RolloutCall } from './call.js'
import type { OnRolloutRequest } from './call.js'
import { VersionGate } from './gate.js'
import { ServiceRollout } from './service.js'
import { selectEstablished } from './queries/versions.js'
import type { Rollout, RolloutBounds, RolloutPhase, RolloutSet } from './schema.js'

export interface RolloutGuardContext {
  clock: Clock
  bounds: RolloutBounds
  onRequest?: OnRolloutRequest
  getTargets: (service: string) => readonly Target[]
  /** Called when this node learns of a rollout, and when its phase or state changes here. */
  onPhase?: (rollout: Rollout, phase: RolloutPhase | Rollout['state'] | 'withdrawn') => void
}

/** Peers that were away are told by the responses to their own messages. */
const SENT_AFTER_CHANGE_MS = 30_000

export interface RolloutExchange { rolloutPosition?: StorePosition | undefined, rollouts?: RolloutSet | undefined }

export class RolloutGuard extends VersionGate {
  private readonly services = new Map<string, ServiceRollout>()
  private position: StorePosition | undefined
  private changedAt = -Infinity
  /** The version of each service that served last without a rollout. */
  private readonly establishedVersions = new Map<string, string>()
  /** Lists of targets are replaced, never changed. */
  private readonly established = new WeakMap<readonly Target[], readonly Target[]>()

  constructor (private readonly context: RolloutGuardContext) {
    super()
  }

  /** The rollouts that this node knows, undefined if there has been none. */
  get set (): RolloutSet | undefined {
    return this.position === undefined ? undefined : { position: this.position, rollouts: this.list().map(({ current }) => current) }
  }

  /** The part of a message to a peer. It is empty until there is a rollout. */
  makeExchangePart (): RolloutExchange {
    const { set } = this
    if (set === undefined) return {}
    const isFresh = this.context.clock.monotonic() - this.changedAt < SENT_AFTER_CHANGE_MS
    return { rolloutPosition: set.position, ...isFresh || this.listRunning().length > 0 ? { rollouts: set } : {} }
  }

  /** Handles the part of a message of a peer, and returns the part of the response. */
  exchange ({ rolloutPosition, rollouts }: RolloutExchange): Pick<RolloutExchange, 'rollouts'> {
    if (rollouts !== undefined) this.apply(rollouts)
    const { set } = this
    return set !== undefined && (rolloutPosition === undefined || comparePositions(set.position, rolloutPosition) > 0) ? { rollouts: set } : {}
  }

  list (): ServiceRollout[] {
    return [...this.services.values()]
  }

  /** Rollouts in force, which nodes report on. */
  listRunning (): ServiceRollout[] {
    return this.list().filter(({ rollout }) => rollout.state === 'running')
  }

  find (service: string): ServiceRollout | undefined {
    return this.services.get(service)
  }

  /** Returns true if the set is newer than the one that this node has. A set without rollouts is of interest only after one with some. */
  apply ({ position, rollouts }: RolloutSet): boolean {
    if (this.position === undefined && rollouts.length === 0) return false
    if (this.position !== undefined && comparePositions(position, this.position) <= 0) return false
    this.position = position
    this.changedAt = this.context.clock.monotonic()
    const named = new Set(rollouts.map(({ service }) => service))
    for (const service of this.services.keys()) {
      if (!named.has(service)) this.remove(service)
    }
    for (const rollout of rollouts) this.applyRollout(rollout)
    return true
  }

  /** Returns undefined if the call may go to all targets. */
  beginCall (service: string, targets: readonly Target[]): RolloutCall | undefined {
    const { onRequest } = this.context
    const running = this.services.get(service)
    if (running !== undefined) return new RolloutCall(running, targets, onRequest)
    const selected = this.selectEstablished(service, targets)
    return selected === targets ? undefined : new RolloutCall(undefined, selected)
  }

  override isClosed ({ service, version }: Pick<Announcement, 'service' | 'version'>): boolean {
    return this.services.get(service)?.isClosed(version, this.context.getTargets(service)) ?? false
  }

  /** True if the node beside a target tells how long the target took, without the time in its queue. */
  hasRollout (service: string): boolean {
    return this.services.has(service)
  }

  override isSuccessor ({ service, version }: Pick<Announcement, 'service' | 'version'>): boolean {
    const targets = this.context.getTargets(service)
    const running = this.services.get(service)
    if (running !== undefined) return running.isServed(version, targets)
    return this.selectEstablished(service, targets).some(target => target.version === version)
  }

  /** `askedAt` is the monotonic time at which the report was sent, since the response may be late. */
  receivePhase (service: string, id: string, phase: RolloutPhase, askedAt: number): void {
    const running = this.services.get(service)
    if (running?.rollout.id !== id || !running.receivePhase(phase, askedAt)) return
    this.context.onPhase?.(running.rollout, phase)
  }

  private selectEstablished (service: string, targets: readonly Target[]): readonly Target[] {
    const known = this.established.get(targets)
    if (known !== undefined) return known
    const selected = selectEstablished(targets, this.establishedVersions.get(service))
    const [first] = selected
    if (first?.version !== undefined) this.establishedVersions.set(service, first.version)
    this.established.set(targets, selected)
    return selected
  }

  private remove (service: string): void {
    const running = this.services.get(service)
    this.services.delete(service)
    if (running?.rollout.state === 'completed') this.establishedVersions.set(service, running.rollout.newVersion)
    if (running !== undefined) this.context.onPhase?.(running.rollout, 'withdrawn')
  }

  private applyRollout (rollout: Rollout): void {
    const { clock, bounds, onPhase } = this.context
    const existing = this.services.get(rollout.service)
    const isSame = existing?.rollout.id === rollout.id && (existing.rollout.state === 'running' || existing.rollout.state === rollout.state)
    if (isSame && existing.rollout.state === rollout.state) {
      existing.update(rollout)
      return
    }
    if (isSame) existing.update(rollout)
    else this.services.set(rollout.service, new ServiceRollout(rollout, clock, bounds))
    onPhase?.(rollout, rollout.state)
  }
}
