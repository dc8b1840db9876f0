/**
 * The rollouts of one node: what it knows and counts, the coordinators that it runs, and the tasks.
 */
import type { Clock, Random } from '../core/index.js'
import type { LocalTargets } from '../request/index.js'
import { CountingRolloutStore, runCoordination, followRollouts, RolloutCoordinators, RolloutGuard, RolloutReporter } from '../rollout/index.js'
import type { LocalTargetsReport, Rollout, RolloutHosts, RolloutReport, RolloutResponse, RolloutSet, ServiceRollout } from '../rollout/index.js'
import { Err, makeFault, Ok } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import type { PeerTransport } from '../peer/index.js'
import type { RolloutParts } from './parts.js'
import type { NodeState } from './state.js'
import type { PeerSynchronizer } from './tasks/peers.js'
import type { SupervisedTask } from './tasks/supervised.js'
import type { NodeTelemetry } from './telemetry.js'

export interface NodeRolloutsContext extends RolloutParts { state: NodeState, clock: Clock, random: Random, telemetry: NodeTelemetry }

/** What exists only after the guard, which admission needs. */
export interface RolloutTaskContext { peers: PeerSynchronizer, transport: PeerTransport, localTargets: LocalTargets }

export class NodeRollouts {
  readonly guard: RolloutGuard
  private readonly coordinators: RolloutCoordinators

  constructor (private readonly context: NodeRolloutsContext) {
    const { state, clock, bounds, telemetry } = context
    this.guard = new RolloutGuard({
      clock,
      bounds,
      getTargets: service => state.members.targets.get(service) ?? [],
      onRequest: (service, version, result) => { telemetry.recordRolloutRequest(service, version, result) },
      onPhase: (rollout, phase) => {
        telemetry.recordRolloutPhase(rollout, phase)
        this.onPhase()
      }
    })
    this.coordinators = new RolloutCoordinators(this.guard, clock)
  }

  /** Handles the report of a node that takes this one for the coordinator. */
  receiveReport (report: RolloutReport): RolloutResponse {
    return this.coordinators.receive(report)
  }

  listTasks (parts: RolloutTaskContext, signal: AbortSignal): SupervisedTask[] {
    const { state, clock, random, telemetry } = this.context
    const store = new CountingRolloutStore(this.context.store, call => { telemetry.recordStoreCall(call, 'rollouts') })
    const { peers, localTargets } = parts
    const reporter = this.makeReporter(parts)
    // A node that knows no hosts yet would take itself for a reader.
    const isReader = (): boolean => state.knowsHosts && peers.isReader
    const follow = { store, clock, random, isReader, onSet: (set: RolloutSet) => { this.applySet(set, parts) } }
    const coordinate = {
      store,
      clock,
      coordinators: this.coordinators,
      findHosts: (rollout: Rollout) => this.findHosts(rollout),
      onWritten: (rollout: Rollout, state: string, reason: string) => { telemetry.recordRolloutDecision(rollout, state, reason) },
      onFault: (rollout: Rollout, reason: string) => { telemetry.recordRolloutFault(rollout, reason) }
    }
    this.onPhase = () => { localTargets.applyLimits() }
    return [
      { name: 'rollouts', run: async () => { await followRollouts(follow, signal) } },
      { name: 'rollout reports', run: async () => { await reporter.run(signal) } },
      { name: 'rollout coordination', run: async () => { await runCoordination(coordinate, signal) } }
    ]
  }

  private makeReporter ({ peers, transport, localTargets }: RolloutTaskContext): RolloutReporter {
    const { state: { identity, members }, clock } = this.context
    const send = async (host: string, report: RolloutReport): Promise<Result<RolloutResponse, Fault>> => {
      if (host === identity.host) return Ok(this.receiveReport(report))
      const peer = members.get(host)
      return peer === undefined ? Err(makeFault('unreachable', host)) : await transport.report(peer.peer, report)
    }
    return new RolloutReporter({
      guard: this.guard,
      clock,
      host: identity.host,
      incarnation: identity.incarnation,
      listHosts: () => peers.listReachableHosts(),
      send,
      measureLocal: running => this.measureLocal(running, localTargets)
    })
  }

  /** Tells the peers of a change that a reader has seen. */
  private applySet (set: RolloutSet, { peers }: RolloutTaskContext): void {
    if (this.guard.apply(set)) void peers.notifyPeers({}, 'many')
  }

  /** Rejects the requests that wait for a target that is closed now. */
  private onPhase: () => void = () => {}

  private measureLocal (running: ServiceRollout, localTargets: LocalTargets): LocalTargetsReport {
    const { rollout: { service }, phaseInForce } = running
    const targets = this.context.state.localHost.listAnnouncements().filter(announcement => announcement.service === service)
    const next = targets.filter(({ version }) => running.isNext(version))
    const earlier = targets.filter(({ version }) => !running.isNext(version))
    const closing = phaseInForce === 'switching' ? earlier : phaseInForce === 'back' ? next : []
    return {
      earlier: earlier.length,
      next: next.length,
      isClosed: closing.every(announcement => this.guard.isClosed(announcement)),
      inFlight: closing.length === 0 ? 0 : localTargets.countUsedSlots()
    }
  }

  private findHosts ({ service, newVersion }: Rollout): RolloutHosts {
    const targets = (this.context.state.members.targets.get(service) ?? []).filter(({ state }) => state !== 'leaving')
    const next = targets.filter(({ version }) => version === newVersion)
    return {
      earlier: targets.filter(({ version }) => version !== newVersion).map(({ host }) => host),
      next: next.map(({ host }) => host),
      ready: next.filter(({ state }) => state === 'ready').length
    }
  }
}
