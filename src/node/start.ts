/**
 * Assembles one node: state, ports and tasks. The store, the source of the configuration, the protocol
 * adapter and the policies are passed in, so that the node does not depend on a platform.
 */
import { setMaxListeners } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Account } from '../account/index.js'
import type { Configuration, ConfigurationUpdate } from '../configuration/index.js'
import { makeFailure, SystemClock, SystemRandom } from '../core/index.js'
import type { Announcement, Heartbeat } from '../membership/index.js'
import { ControlMeter, Dialer, MsgpackCodec, PeerClient, startPeerServer } from '../peer/index.js'
import {
  CrashTracker, isConnectionRefused, LocalTargets, RepeatMeter, serveCaller, serveInbound, verifyToken, TokenHttpClient, UndiciHttpClient,
  writeFailure
} from '../request/index.js'
import type { CallerContext, HttpClient } from '../request/index.js'
import { QuotaService } from '../quota/index.js'
import type { QuotaSettings } from '../quota/index.js'
import { CountingObjectStore } from '../store/index.js'
import { applyConfiguration } from './commands/apply.js'
import { LocalHostRegistration } from './commands/localhost.js'
import { RecordCopies } from './copies.js'
import { makePeerHandlers } from './handlers.js'
import { startServer } from './http.js'
import { HttpPort } from './port.js'
import type { NodeParts, RequestPolicies, StopResult } from './parts.js'
import { NodeRollouts } from './rollouts.js'
import type { NodeTimeouts } from './settings.js'
import { NodeShutdown } from './shutdown.js'
import { NodeState } from './state.js'
import { serveAdmin } from './tasks/admin.js'
import { HostDirectory } from './tasks/directory.js'
import { listTasks } from './tasks/list.js'
import { followHosts, reportQuota } from './tasks/quota.js'
import { observeHosts } from './tasks/observe.js'
import { PeerSynchronizer } from './tasks/peers.js'
import { runSupervised } from './tasks/supervised.js'
import { NodeTelemetry } from './telemetry.js'

const MAX_TARGET_CONNECTIONS = 130
const MAX_PEER_CONNECTIONS = 256
const PEER_IDLE_TIMEOUT_MS = 10_000
/** Above PEER_IDLE_TIMEOUT_MS, after which peers close a connection themselves, so that no request arrives while it is being closed. */
const INBOUND_IDLE_TIMEOUT_MS = 60_000
const INBOUND_HEADER_TIMEOUT_MS = 10_000
/** Where a configuration came from that no peer sent. */
const STORE = 'store'
const NO_ACCOUNTS: readonly Account[] = []

export class Node {
  readonly telemetry: NodeTelemetry
  private readonly clock = new SystemClock()
  private readonly random = new SystemRandom()
  private readonly state: NodeState
  private readonly policies: RequestPolicies
  private readonly rollouts: NodeRollouts | undefined
  private readonly localTargets: LocalTargets
  private readonly crashWatch: CrashTracker
  private readonly repeats = new RepeatMeter(this.clock)
  private readonly meter: ControlMeter
  private readonly client: PeerClient
  private readonly peers: PeerSynchronizer
  private readonly directory: HostDirectory
  private readonly registration: LocalHostRegistration
  private readonly quota: QuotaService | undefined
  private readonly targetHttpClient: UndiciHttpClient
  private readonly peerHttpClient: HttpClient
  private readonly callerPort: HttpPort
  private readonly callerContext: CallerContext
  private readonly inboundPort: HttpPort
  private readonly stopped = new AbortController()
  private readonly shutdown: NodeShutdown
  private timeouts: NodeTimeouts

  constructor (private readonly parts: NodeParts) {
    const { settings, access = {} } = parts
    const { clock, random } = this
    this.timeouts = parts.timeouts
    const { host, zone, region, inbound, peer, admin } = settings
    this.state = new NodeState({ host, zone, region, inbound, peer, admin, incarnation: clock.now() }, clock)
    this.telemetry = new NodeTelemetry(this.state, clock)
    const { log, metrics } = this.telemetry
    const rolloutContext = { state: this.state, clock, random, telemetry: this.telemetry }
    this.rollouts = parts.rollouts === undefined ? undefined : new NodeRollouts({ ...parts.rollouts, ...rolloutContext })
    this.policies = parts.makePolicies(clock, random, () => this.state.members.size, () => this.state.accounts.isInForce)
    const { admission, control } = this.policies
    this.localTargets = new LocalTargets(
      this.state.localHost, () => this.state.snapshotTable.current, clock, admission, this.rollouts?.guard, control
    )
    this.crashWatch = new CrashTracker(
      host, this.state.suspects, isConnectionRefused, target => this.state.localHost.formatProcess(target)
    )
    this.meter = new ControlMeter(new MsgpackCodec(), settings, ({ kind, link, direction, bytes }) => {
      const labels = { kind, link, direction }
      metrics.count('control_messages_total', labels)
      metrics.count('control_bytes_total', labels, bytes)
    })
    const dialer = access.dialer ?? new Dialer()
    this.client = new PeerClient(this.meter.codec, dialer, access.credentials?.client, [this.meter.clientInterceptor])
    const onConfiguration = (configuration: Configuration, from: string): void => { this.applyConfiguration(configuration, from) }
    this.peers = new PeerSynchronizer({
      state: this.state, transport: this.client, clock, random, log, rollouts: this.rollouts?.guard, onConfiguration
    })
    const store = new CountingObjectStore(parts.store, (call, kind) => { this.telemetry.recordStoreCall(call, kind) })
    const copies = new RecordCopies(clock)
    this.quota = parts.quota === undefined ? undefined : this.makeQuota(parts.quota)
    this.directory = new HostDirectory({
      state: this.state,
      store,
      clock,
      random,
      log,
      onListed: () => {
        this.quota?.recordContact()
        void this.peers.compareState()
      },
      onWritten: record => { copies.recordStored(record) }
    })
    const { state, telemetry, localTargets, crashWatch, directory, peers } = this
    this.registration = new LocalHostRegistration({ state, clock, telemetry, localTargets, crashWatch, directory, peers, copies })
    this.targetHttpClient = new UndiciHttpClient(MAX_TARGET_CONNECTIONS, undefined, clock, this.policies.targetIdleMs)
    const plainPeerHttpClient = new UndiciHttpClient(MAX_PEER_CONNECTIONS, address => dialer.resolve(address), clock, PEER_IDLE_TIMEOUT_MS)
    this.peerHttpClient = access.peerToken === undefined ? plainPeerHttpClient : new TokenHttpClient(plainPeerHttpClient, access.peerToken)
    const context = this.makeCallerContext()
    this.callerContext = context
    this.callerPort = new HttpPort(async (message, response) => { await serveCaller(context, message, response) }, context.onRejected)
    this.inboundPort = new HttpPort(async (message, response) => { await this.serveNode(context, message, response) })
    this.shutdown = new NodeShutdown({
      caller: this.callerPort,
      inbound: this.inboundPort,
      clock,
      state,
      telemetry,
      registration: this.registration,
      directory,
      countInFlight: () => this.countInFlight(),
      getDrainMs: () => this.timeouts.drainMs,
      stopTasks: () => { this.stopped.abort() }
    })
  }

  /** Resolves when the ports are open; the tasks run until the node stops. */
  async start (): Promise<void> {
    const { settings, source, access } = this.parts
    const { clock, random, state, telemetry, peers, stopped: { signal } } = this
    // Each task and each call in flight listens to this signal, so Node.js would take them for a leak.
    setMaxListeners(0, signal)
    telemetry.recordStart()
    observeHosts({ state, log: telemetry.log, recorder: telemetry.recorder }, signal)
    state.readiness.stream.observe(() => { telemetry.recordReady() }).catch(error => { throw error })
    state.ownRecords.stream.observe(record => { this.registration.receiveOwnRecord(record) }).catch(error => { throw error })
    state.recovery.stream.observe(() => {
      this.registration.endRecovery()
      this.quota?.beginOwning(this.registration.wasServing)
    }).catch(error => { throw error })
    const tasks = listTasks({
      source,
      clock,
      random,
      state,
      peers,
      directory: this.directory,
      log: telemetry.log,
      repeats: this.repeats,
      onRepeatsCounted: counts => { telemetry.recordRepeats(counts) },
      getHeartbeatTimeoutMs: () => this.timeouts.heartbeatTimeoutMs,
      onUpdate: update => { this.handleUpdate(update) },
      onSourceState: isResponding => { this.handleSourceState(isResponding) },
      onExpired: expired => { this.handleExpired(expired) },
      announceMarks: () => { this.registration.announceMarks() }
    }, signal)
    if (this.quota !== undefined) {
      const { quota } = this
      followHosts(state, quota, signal)
      tasks.push({ name: 'quota', run: async () => { await quota.run(signal) } })
      tasks.push({ name: 'quota report', run: async () => { await reportQuota({ quota, telemetry, clock }, signal) } })
    }
    const rolloutTasks = this.rollouts?.listTasks({ peers, transport: this.client, localTargets: this.localTargets }, signal) ?? []
    const reportError = (origin: string, error: unknown): void => { telemetry.recordUnexpectedError(origin, error) }
    for (const task of [...tasks, ...rolloutTasks]) void runSupervised(task, clock, reportError, signal)
    await this.callerPort.listen(settings.caller)
    await this.inboundPort.listen(settings.inbound)
    this.inboundPort.setTimeouts(INBOUND_HEADER_TIMEOUT_MS, INBOUND_IDLE_TIMEOUT_MS)
    const handlers = makePeerHandlers({
      state,
      telemetry,
      peers,
      quota: this.quota,
      rollouts: this.rollouts,
      caller: this.callerContext,
      operatorToken: access?.operatorToken,
      startLeaving: () => { this.registration.startLeaving(this.countInFlight()) }
    })
    await startPeerServer(settings.peer, this.meter.codec, handlers, access?.credentials?.server, [this.meter.serverInterceptor])
    const admin = { state, metrics: telemetry.metrics, countInFlight: () => this.countInFlight() }
    await startServer(settings.admin, async (message, response) => { await serveAdmin(admin, message, response) })
  }

  /** True if callers may send new requests to this host. */
  get isServing (): boolean {
    return this.state.isReady && !this.shutdown.hasBegun
  }

  get isLeaving (): boolean {
    return this.state.localHost.isLeaving
  }

  setTimeouts (timeouts: NodeTimeouts): void {
    this.timeouts = timeouts
  }

  /** Handles an announcement of a target of the local host. */
  registerTarget (announcement: Announcement): void {
    this.registration.registerTarget(announcement)
  }

  /** Handles a heartbeat of the target on the local host, which has one target at a time. */
  receiveHeartbeat (heartbeat: Heartbeat): void {
    this.registration.receiveHeartbeat(heartbeat)
  }

  /** Marks a target of the local host as leaving. */
  deregisterTarget (target: string, startedAt: number): void {
    this.registration.deregisterTarget(target, startedAt)
  }

  /** Resolves to true when what this node knows of its targets will be known to its next process, and to false if it cannot be in time. */
  async awaitCopy (): Promise<boolean> {
    return await this.registration.awaitCopy()
  }

  /** Notifies the peers, stops accepting requests, and lets requests in flight end. Safe to call again. */
  async stop (): Promise<StopResult> {
    return await this.shutdown.stop()
  }

  private handleUpdate (update: ConfigurationUpdate): void {
    this.peers.lag.recordSourceResponse()
    if (update.kind === 'faulty') this.telemetry.recordInvalidConfiguration(update.reason)
    if (update.kind !== 'configuration') return
    this.applyConfiguration(update.configuration, STORE)
  }

  private handleSourceState (isResponding: boolean): void {
    this.state.hasSource = isResponding
    this.telemetry.recordSourceState(isResponding)
  }

  private applyConfiguration (configuration: Configuration, from: string): void {
    const previous = this.state.version
    const result = applyConfiguration(this.state, configuration)
    if (result === undefined) return
    void this.peers.compareState()
    this.peers.announceVersion(previous, from === STORE)
    const { callerLimits } = configuration
    if (callerLimits !== undefined) this.callerPort.setTimeouts(callerLimits.headerTimeoutMs, callerLimits.idleTimeoutMs)
    this.localTargets.applyLimits()
    this.telemetry.recordConfiguration(configuration, result, from)
  }

  private handleExpired (expired: readonly Announcement[]): void {
    this.registration.expireTargets(expired, this.timeouts.heartbeatTimeoutMs)
  }

  private async serveNode ({ inbound }: CallerContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (verifyToken(message, this.parts.access?.peerToken)) await serveInbound(inbound, message, response)
    else writeFailure(response, makeFailure('not-run', 403, 'bad_token', 'wrong or missing peer token'), '')
  }

  private makeQuota (settings: QuotaSettings): QuotaService {
    const { clock, random, state, client, telemetry } = this
    return new QuotaService({
      location: state.identity,
      settings,
      clock,
      random,
      send: async (address, request) => await client.lend(address, request),
      getAccounts: () => state.configuration === undefined ? undefined : state.configuration.accounts ?? NO_ACCOUNTS,
      onResult: (result, account, count) => { telemetry.quota.record(result, account, count) }
    })
  }

  private makeCallerContext (): CallerContext {
    const { settings, adapter } = this.parts
    const { clock, random, state, telemetry, policies } = this
    const { suspects } = state
    const rollouts = this.rollouts === undefined ? {} : { rollouts: this.rollouts.guard }
    const { picker, retry, requestBufferBytes, responseBufferBytes } = policies
    const entry = policies.makeEntry?.(entryState => { telemetry.recordOverloadState(entryState) })
    return {
      host: settings.host,
      clock,
      random,
      metrics: telemetry.metrics,
      inbound: {
        local: this.localTargets,
        client: this.targetHttpClient,
        clock,
        crashes: this.crashWatch,
        suspects,
        repeats: this.repeats,
        retry,
        entry,
        adapter,
        ...rollouts,
        responseBufferBytes
      },
      suspects,
      peerClient: this.peerHttpClient,
      picker,
      control: policies.control,
      entry,
      retry,
      getSnapshot: () => state.snapshotTable.current,
      ...rollouts,
      getAccounts: () => state.accounts,
      ...this.quota === undefined ? {} : { quota: this.quota.policy },
      isReady: () => state.isReady,
      isOutdated: () => state.isOutdated,
      getMaxHeadBytes: () => state.configuration?.callerLimits?.headerBytes,
      ...requestBufferBytes === undefined ? {} : { requestBufferBytes },
      getTimeToShutdownMs: () => this.shutdown.getTimeLeftMs(),
      onFailure: (call, failure) => { telemetry.recordFailedCall(call, failure) },
      onRejected: failure => { telemetry.recordRejectedHead(failure) },
      onAttemptFailed: failed => { telemetry.logFailedAttempt(failed) }
    }
  }

  private countInFlight (): number {
    return this.callerPort.inFlight.size + this.inboundPort.inFlight.size
  }
}
