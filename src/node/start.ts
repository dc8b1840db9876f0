/**
 * Assembles one node: state, ports and tasks. The store, the source of the configuration, the protocol
 * adapter and the policies are passed in, so that the node does not depend on a platform.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Configuration, ConfigurationUpdate } from '../configuration/index.js'
import { makeFailure, SystemClock, SystemRandom } from '../core/index.js'
import { markHostLeaving, registerTarget, supersedeRecord, TargetProcesses } from '../membership/index.js'
import type { Announcement, Heartbeat, HeartbeatResult, HostRecord } from '../membership/index.js'
import { ControlMeter, Dialer, MsgpackCodec, PeerClient, startPeerServer } from '../peer/index.js'
import type { DrainRequest, DrainResponse, PeerHandlers } from '../peer/index.js'
import {
  CrashTracker, isConnectionRefused, LocalTargets, matchesSecret, serveCaller, serveInbound, verifyToken, TokenHttpClient, UndiciHttpClient,
  writeFailure
} from '../request/index.js'
import type { CallerContext, HttpClient } from '../request/index.js'
import { CountingObjectStore } from '../store/index.js'
import { filterEvents } from '../timeline/index.js'
import { applyConfiguration } from './commands/apply.js'
import { storeLocalRecord } from './commands/records.js'
import { startServer } from './http.js'
import { HttpPort } from './port.js'
import { makeStatus } from './queries/status.js'
import type { NodeParts, RequestPolicies, StopResult } from './parts.js'
import type { NodeTimeouts } from './settings.js'
import { drainPorts, LEAVE_PROPAGATION_MS } from './shutdown.js'
import { NodeState } from './state.js'
import { serveAdmin } from './tasks/admin.js'
import { HostDirectory } from './tasks/directory.js'
import { listTasks } from './tasks/list.js'
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
/** Two nodes with the same host name supersede each other endlessly. This minimum interval bounds the load on the fleet. */
const SUPERSEDE_INTERVAL_MS = 500
/** Where a configuration came from that no peer sent. */
const STORE = 'store'
/** Maximum wait at shutdown until the local host's object is removed from the store. */
const REMOVE_WAIT_MS = 200

export class Node {
  readonly telemetry: NodeTelemetry
  private readonly clock = new SystemClock()
  private readonly random = new SystemRandom()
  private readonly state: NodeState
  private readonly targetProcesses: TargetProcesses
  private readonly policies: RequestPolicies
  private readonly localTargets: LocalTargets
  private readonly crashWatch: CrashTracker
  private readonly meter: ControlMeter
  private readonly client: PeerClient
  private readonly peers: PeerSynchronizer
  private readonly directory: HostDirectory
  private readonly targetHttpClient: UndiciHttpClient
  private readonly peerHttpClient: HttpClient
  private readonly callerPort: HttpPort
  private readonly inboundPort: HttpPort
  private readonly stopped = new AbortController()
  private timeouts: NodeTimeouts
  private supersededAt = -Infinity
  private leavingSince: number | undefined
  /** The monotonic time at which requests in flight are cut, set when the node begins to stop. */
  private stopsAt: number | undefined
  private stopping: Promise<StopResult> | undefined

  constructor (private readonly parts: NodeParts) {
    const { settings, access = {} } = parts
    const { clock, random } = this
    this.timeouts = parts.timeouts
    const { host, zone, region, inbound, peer, admin } = settings
    this.state = new NodeState({ host, zone, region, inbound, peer, admin, incarnation: clock.now() }, clock)
    this.telemetry = new NodeTelemetry(this.state, clock)
    const { log, metrics } = this.telemetry
    this.targetProcesses = new TargetProcesses(this.state.localHost)
    this.policies = parts.makePolicies(clock, random, () => this.state.members.size)
    this.localTargets = new LocalTargets(this.state.localHost, () => this.state.snapshotTable.current, clock, this.policies.admission)
    this.crashWatch = new CrashTracker(host, this.state.suspects, isConnectionRefused)
    this.meter = new ControlMeter(new MsgpackCodec(), settings, ({ kind, link, direction, bytes }) => {
      const labels = { kind, link, direction }
      metrics.count('control_messages_total', labels)
      metrics.count('control_bytes_total', labels, bytes)
    })
    const dialer = access.dialer ?? new Dialer()
    this.client = new PeerClient(this.meter.codec, dialer, access.credentials?.client, [this.meter.clientInterceptor])
    const onConfiguration = (configuration: Configuration, from: string): void => { this.applyConfiguration(configuration, from) }
    this.peers = new PeerSynchronizer({ state: this.state, transport: this.client, clock, random, log, onConfiguration })
    const store = new CountingObjectStore(parts.store, (call, kind) => { metrics.count('store_calls_total', { call, kind }) })
    this.directory = new HostDirectory({ state: this.state, store, clock, random, log })
    this.targetHttpClient = new UndiciHttpClient(MAX_TARGET_CONNECTIONS, undefined, clock, this.policies.targetIdleMs)
    const plainPeerHttpClient = new UndiciHttpClient(MAX_PEER_CONNECTIONS, address => dialer.resolve(address), clock, PEER_IDLE_TIMEOUT_MS)
    this.peerHttpClient = access.peerToken === undefined ? plainPeerHttpClient : new TokenHttpClient(plainPeerHttpClient, access.peerToken)
    const context = this.makeCallerContext()
    this.callerPort = new HttpPort(async (message, response) => { await serveCaller(context, message, response) })
    this.inboundPort = new HttpPort(async (message, response) => { await this.serveNode(context, message, response) })
  }

  /** Resolves when the ports are open; the tasks run until the node stops. */
  async start (): Promise<void> {
    const { settings, source, access } = this.parts
    const { clock, random, state, telemetry, peers, stopped: { signal } } = this
    telemetry.recordStart()
    observeHosts({ state, log: telemetry.log, recorder: telemetry.recorder }, signal)
    state.supersedingRecords.stream.observe(record => { this.handleSupersedingRecord(record) }).catch(error => { throw error })
    this.announceRecord(state.localHost.makeRecord())
    const tasks = listTasks({
      source,
      clock,
      random,
      state,
      peers,
      directory: this.directory,
      log: telemetry.log,
      getHeartbeatTimeoutMs: () => this.timeouts.heartbeatTimeoutMs,
      onUpdate: update => { this.handleUpdate(update) },
      onSourceState: isResponding => { this.handleSourceState(isResponding) },
      onExpired: expired => { this.handleExpired(expired) }
    }, signal)
    for (const task of tasks) void runSupervised(task, clock, (origin, error) => { telemetry.recordUnexpectedError(origin, error) }, signal)
    await this.callerPort.listen(settings.caller)
    await this.inboundPort.listen(settings.inbound)
    this.inboundPort.setTimeouts(INBOUND_HEADER_TIMEOUT_MS, INBOUND_IDLE_TIMEOUT_MS)
    await startPeerServer(settings.peer, this.meter.codec, this.makePeerHandlers(), access?.credentials?.server, [this.meter.serverInterceptor])
    const admin = { state, metrics: telemetry.metrics, countInFlight: () => this.countInFlight() }
    await startServer(settings.admin, async (message, response) => { await serveAdmin(admin, message, response) })
  }

  /** True if callers may send new requests to this host. */
  get isServing (): boolean {
    return this.state.isReady && this.stopping === undefined
  }

  get isLeaving (): boolean {
    return this.state.localHost.isLeaving
  }

  setTimeouts (timeouts: NodeTimeouts): void {
    this.timeouts = timeouts
  }

  /** Handles an announcement of a target of the local host. */
  registerTarget (announcement: Announcement): void {
    const record = registerTarget(this.state.localHost, announcement, this.clock.monotonic())
    this.applyHeartbeat(announcement.target, announcement.state, record === undefined ? { outcome: 'taken' } : { outcome: 'taken', record })
  }

  /** Handles a heartbeat of the target on the local host, which has one target at a time. */
  receiveHeartbeat (heartbeat: Heartbeat): HeartbeatResult {
    return this.applyHeartbeat(heartbeat.target, heartbeat.state, this.targetProcesses.receiveHeartbeat(heartbeat, this.clock.monotonic()))
  }

  /** Marks a target of the local host as leaving. */
  deregisterTarget (target: string, startedAt: number): HeartbeatResult {
    return this.applyHeartbeat(target, 'deregistered', this.targetProcesses.deregister(target, startedAt, this.clock.monotonic()))
  }

  /** Notifies the peers, stops accepting requests, and lets requests in flight end. Safe to call again. */
  async stop (): Promise<StopResult> {
    this.stopping ??= this.shutDown()
    return await this.stopping
  }

  private async shutDown (): Promise<StopResult> {
    const { callerPort: caller, inboundPort: inbound, clock, telemetry, state } = this
    const { drainMs } = this.timeouts
    telemetry.recordStopping(this.countInFlight(), drainMs)
    const at = clock.monotonic()
    this.stopsAt = at + drainMs
    const sinceLeavingMs = at - this.startLeaving()
    const completed = await drainPorts({ caller, inbound, clock }, Math.max(0, LEAVE_PROPAGATION_MS - sinceLeavingMs), drainMs)
    // The process ends soon, but a connection that was opened before and has not carried a request yet is still open.
    this.stopsAt = clock.monotonic()
    this.stopped.abort()
    telemetry.log.log('change', 'node_stopped', { whole: completed, inFlight: this.countInFlight() })
    if (state.localHost.listHeartbeats().length === 0) await Promise.race([this.directory.remove(state.identity.host), clock.sleep(REMOVE_WAIT_MS)])
    return completed ? 'whole' : 'cut'
  }

  /** Notifies the peers once that this host is leaving. Returns the monotonic time at which it began to leave. */
  private startLeaving (): number {
    const record = markHostLeaving(this.state.localHost)
    if (record !== undefined) {
      this.announceRecord(record)
      this.localTargets.applyLimits()
    }
    this.leavingSince ??= this.clock.monotonic()
    return this.leavingSince
  }

  private applyHeartbeat (target: string, state: string, result: HeartbeatResult): HeartbeatResult {
    if (result.record !== undefined) {
      this.announceRecord(result.record)
      this.localTargets.applyLimits()
    }
    this.telemetry.recordHeartbeat(target, state, result)
    return result
  }

  private announceRecord (record: HostRecord): void {
    storeLocalRecord(this.state, record, this.clock)
    this.directory.notifyChanged()
    void this.peers.notifyPeers({ records: [record] }, record.state === 'leaving' ? 'many' : 'some')
  }

  /** Another node has a record of this host that supersedes the local one: a record of an earlier process, or a tombstone. */
  private handleSupersedingRecord (seen: HostRecord): void {
    const at = this.clock.monotonic()
    if (at - this.supersededAt < SUPERSEDE_INTERVAL_MS) return
    this.supersededAt = at
    const record = supersedeRecord(this.state.localHost, seen)
    if (record === undefined) return
    this.telemetry.recordSuperseded(seen)
    this.announceRecord(record)
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
    this.peers.announceVersion(previous, from === STORE)
    const { callerLimits } = configuration
    if (callerLimits !== undefined) this.callerPort.setTimeouts(callerLimits.headerTimeoutMs, callerLimits.idleTimeoutMs)
    this.localTargets.applyLimits()
    this.telemetry.recordConfiguration(configuration, result, from)
  }

  private handleExpired (expired: readonly Announcement[]): void {
    for (const announcement of expired) {
      this.crashWatch.markCrashed(announcement.target)
      this.telemetry.recordExpiredTarget(announcement, this.timeouts.heartbeatTimeoutMs)
    }
    this.announceRecord(this.state.localHost.makeRecord())
    this.localTargets.applyLimits()
  }

  private async serveNode ({ inbound }: CallerContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (verifyToken(message, this.parts.access?.peerToken)) await serveInbound(inbound, message, response)
    else writeFailure(response, makeFailure('not-run', 403, 'bad_token', 'wrong or missing peer token'), '')
  }

  private makePeerHandlers (): PeerHandlers {
    return {
      exchange: request => this.peers.respond(request),
      status: () => makeStatus(this.state),
      timeline: ({ filter }) => ({ events: filterEvents(this.telemetry.eventRing.list(), filter) }),
      drain: request => this.acceptDrain(request)
    }
  }

  private acceptDrain ({ token }: DrainRequest): DrainResponse {
    const expected = this.parts.access?.operatorToken
    if (expected !== undefined && !matchesSecret(token, expected)) return { accepted: false, message: 'wrong or missing operator token' }
    this.startLeaving()
    return { accepted: true, message: `${this.state.identity.host} gets no new work` }
  }

  private makeCallerContext (): CallerContext {
    const { settings, adapter } = this.parts
    const { clock, random, state, telemetry, policies } = this
    const { suspects } = state
    const { picker, retry, requestBufferBytes, responseBufferBytes } = policies
    return {
      host: settings.host,
      clock,
      random,
      metrics: telemetry.metrics,
      inbound: {
        local: this.localTargets, client: this.targetHttpClient, clock, crashes: this.crashWatch, suspects, adapter, responseBufferBytes
      },
      suspects,
      peerClient: this.peerHttpClient,
      picker,
      retry,
      getSnapshot: () => state.snapshotTable.current,
      isReady: () => state.isReady,
      ...requestBufferBytes === undefined ? {} : { requestBufferBytes },
      getTimeToShutdownMs: () => this.getTimeToShutdownMs(),
      onFailure: (call, failure) => { telemetry.recordFailedCall(call, failure) },
      onAttemptFailed: failed => { telemetry.logFailedAttempt(failed) }
    }
  }

  /** Returns the rest of the drain timeout, or undefined until callers have had time to see that this node is stopping. */
  private getTimeToShutdownMs (): number | undefined {
    if (this.stopsAt === undefined || this.leavingSince === undefined) return undefined
    const at = this.clock.monotonic()
    return at - this.leavingSince < LEAVE_PROPAGATION_MS ? undefined : this.stopsAt - at
  }

  private countInFlight (): number {
    return this.callerPort.inFlight.size + this.inboundPort.inFlight.size
  }
}
