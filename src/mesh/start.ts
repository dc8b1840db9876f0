/**
 * Assembles one node: state, ports and tasks. The store, the source of the configuration and the
 * front come from outside, so that the node knows no platform.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Configuration, ConfigurationSource, Sighting } from '../configuration/index.js'
import { JsonDecisionLog, SystemClock, SystemRandom } from '../core/index.js'
import type { DecisionLog, Failure, Fault, Result } from '../core/index.js'
import { answerRecord, expireTargets, leaveHost, TargetLives } from '../membership/index.js'
import type { Heard, Heartbeat, HostRecord } from '../membership/index.js'
import { formatProcess, Metrics } from '../metrics/index.js'
import { startServer } from '../node/http.js'
import { HttpPort } from '../node/port.js'
import { drainPorts } from '../node/shutdown.js'
import { MsgpackCodec } from '../peer/codec.js'
import { CrashWatch, DelayPicker, isRefused, LocalTargets, serveCaller, serveInbound, SharedBudgetPolicy, TimelyAdmission, UndiciExchanger } from '../request/index.js'
import type { Call, CallerContext, FailedAttempt, Front } from '../request/index.js'
import type { ObjectStore } from '../store/index.js'
import { applyConfiguration } from './commands/apply.js'
import { announceRecord } from './commands/take.js'
import { PeerLinks, startLinkServer } from './link.js'
import type { MeshSettings } from './settings.js'
import { MeshState } from './state.js'
import { followConfiguration } from './tasks/configuration.js'
import { Directory } from './tasks/directory.js'
import { Peers } from './tasks/peers.js'

const TARGET_CONNECTIONS = 130
const PEER_CONNECTIONS = 256
/** Idle connections are kept as long as most servers keep theirs, since a new one costs its target work. */
const TARGET_IDLE_MS = 8_000
const PEER_IDLE_MS = 10_000
/** Above the time after which peers close a connection themselves, so that no request crosses its end. */
const INBOUND_IDLE_MS = 60_000
const INBOUND_HEAD_MS = 10_000
/** Answers up to this size are passed on when they are whole. */
const HOLD_BYTES = 64 * 1024
/** Bodies up to this size can be sent to another target. */
const KEEP_BYTES = 1024 * 1024
/** Heartbeats that a target may miss before it counts as gone. */
const MISSED_HEARTBEATS = 4
const EXPIRY_CHECK_MS = 500
/** Until then clients have seen that the host is not ready and send elsewhere. */
const SPREAD_MS = 2_500
/** Kept of the grace time for the end of the process itself. */
const EXIT_MS = 400
const CHALLENGE_MS = 500

export interface MeshParts { settings: MeshSettings, store: ObjectStore, source: ConfigurationSource, front: Front }

export class MeshNode {
  readonly log: DecisionLog
  private readonly clock = new SystemClock()
  private readonly random = new SystemRandom()
  private readonly metrics = new Metrics()
  private readonly state: MeshState
  private readonly lives: TargetLives
  private readonly local: LocalTargets
  private readonly crashes: CrashWatch
  private readonly links: PeerLinks
  private readonly peers: Peers
  private readonly directory: Directory
  private readonly targetExchanger: UndiciExchanger
  private readonly peerExchanger: UndiciExchanger
  private readonly callerPort: HttpPort
  private readonly inboundPort: HttpPort
  private readonly codec = new MsgpackCodec()
  private readonly stopped = new AbortController()
  private isStopping = false
  private answeredAt = -Infinity
  private stoppingAt = Infinity
  private settings: MeshSettings

  constructor (private readonly parts: MeshParts) {
    const { settings, store } = parts
    this.settings = settings
    const { clock, random } = this
    this.log = new JsonDecisionLog(settings.host, clock)
    this.state = new MeshState({
      host: settings.host,
      zone: settings.zone,
      region: settings.region,
      inbound: settings.inbound,
      peer: settings.peer,
      admin: settings.admin,
      incarnation: clock.now()
    }, clock)
    this.lives = new TargetLives(this.state.own)
    this.local = new LocalTargets(this.state.own, () => this.state.table.current, clock, new TimelyAdmission())
    this.crashes = new CrashWatch(settings.host, this.state.suspects, isRefused)
    this.links = new PeerLinks(this.codec)
    this.peers = new Peers({
      state: this.state,
      links: this.links,
      clock,
      random,
      log: this.log,
      onConfiguration: (configuration, from) => { this.applyVersion(configuration, from) }
    })
    this.directory = new Directory({ state: this.state, store, clock, random, log: this.log })
    this.targetExchanger = new UndiciExchanger(TARGET_CONNECTIONS, undefined, clock, TARGET_IDLE_MS)
    this.peerExchanger = new UndiciExchanger(PEER_CONNECTIONS, undefined, clock, PEER_IDLE_MS)
    const context = this.makeCallerContext()
    this.callerPort = new HttpPort(async (message, response) => { await serveCaller(context, message, response) })
    this.inboundPort = new HttpPort(async (message, response) => { await serveInbound(context.inbound, message, response) })
  }

  async start (): Promise<void> {
    const { settings, source } = this.parts
    const { signal } = this.stopped
    const { clock, random, log } = this
    this.log.note('change', 'node_started', { zone: settings.zone, region: settings.region, service: settings.service, pid: process.pid })
    const onSource = (isAnswering: boolean): void => { this.peers.hasSource = isAnswering }
    const tasks = [
      followConfiguration({ source, clock, random, log, onSighting: sighting => { this.noteSighting(sighting) }, onSource }, signal),
      this.directory.run(signal)
    ]
    await this.callerPort.listen(settings.caller)
    await this.inboundPort.listen(settings.inbound)
    this.inboundPort.setTimeouts(INBOUND_HEAD_MS, INBOUND_IDLE_MS)
    await startLinkServer(settings.peer, this.codec, request => this.peers.answer(request))
    await startServer(settings.admin, async (message, response) => { this.serveAdmin(message, response) })
    this.state.challenges.stream.observe(record => { this.answerChallenge(record) }).catch(error => { throw error })
    tasks.push(this.peers.compareInTurn(signal), this.peers.sendMarks(signal), this.expireSilent(signal))
    await Promise.all(tasks)
  }

  /** Whether this host is to get new work from its callers. */
  get isServing (): boolean {
    return this.state.isReady && !this.isStopping
  }

  /** Takes changed settings; addresses and names stay as they were until the next start. A fault keeps those in force. */
  reload (read: Result<MeshSettings, Fault>): void {
    if (read.err) {
      this.log.note('change', 'settings_kept', { reason: read.val.message })
      return
    }
    if (JSON.stringify(read.val) === JSON.stringify(this.settings)) return
    this.settings = read.val
    this.log.note('change', 'settings_applied', { service: read.val.service, heartbeatMs: read.val.heartbeat, graceMs: read.val.grace })
  }

  /** The service in whose name callers of this host call. */
  get service (): string {
    return this.settings.service
  }

  /** A heartbeat of the target on this host. */
  hear (heartbeat: Heartbeat): Heard {
    return this.takeHeard(heartbeat.target, heartbeat.state, this.lives.hear(heartbeat, this.clock.monotonic()))
  }

  /** The target on this host goes. */
  leaveTarget (target: string, startedAt: number): Heard {
    return this.takeHeard(target, 'deregistered', this.lives.leave(target, startedAt, this.clock.monotonic()))
  }

  /** Takes no new work, lets requests in flight end, and tells the peers. */
  async stop (): Promise<void> {
    if (this.isStopping) return
    this.isStopping = true
    this.stoppingAt = this.clock.monotonic()
    const { callerPort: caller, inboundPort: inbound, clock, log } = this
    const { grace } = this.settings
    log.note('change', 'node_stopping', { callers: caller.inFlight.size, inbound: inbound.inFlight.size, graceMs: grace })
    const record = leaveHost(this.state.own)
    if (record !== undefined) this.announce(record)
    this.local.applyLimits()
    const whole = await drainPorts({ caller, inbound, clock }, SPREAD_MS, grace - EXIT_MS)
    this.stopped.abort()
    log.note('change', 'node_stopped', { whole, callers: caller.inFlight.size, inbound: inbound.inFlight.size })
    if (this.state.own.listHeard().length === 0) await Promise.race([this.directory.removeOwn(), clock.sleep(EXIT_MS / 2)])
  }

  private takeHeard (target: string, state: string, heard: Heard): Heard {
    if (heard.record !== undefined) {
      this.announce(heard.record)
      this.local.applyLimits()
    }
    if (heard.record !== undefined || heard.as !== 'taken') this.log.note('change', 'target_heard', { target, state, as: heard.as, sequence: heard.record?.sequence })
    return heard
  }

  private announce (record: HostRecord): void {
    announceRecord(this.state, record, this.clock)
    this.directory.wakeUp()
    void this.peers.send({ records: [record] })
  }

  /** Another node holds a record of this host above its own, of an earlier process or with a mark. */
  private answerChallenge (seen: HostRecord): void {
    const at = this.clock.monotonic()
    if (at - this.answeredAt < CHALLENGE_MS) return
    this.answeredAt = at
    const record = answerRecord(this.state.own, seen)
    if (record === undefined) return
    this.log.note('change', 'own_record_outranked', { incarnation: seen.incarnation, sequence: seen.sequence, lost: seen.lost })
    this.announce(record)
  }

  private noteSighting (sighting: Sighting): void {
    if (sighting.kind === 'configuration') this.applyVersion(sighting.configuration, 'store')
    else if (sighting.kind === 'faulty') this.log.note('change', 'configuration_faulty', { reason: sighting.reason, kept: this.state.version })
  }

  private applyVersion (configuration: Configuration, from: string): void {
    const before = this.state.version
    if (!applyConfiguration(this.state, configuration, this.clock)) return
    const { headerTimeoutMs, idleTimeoutMs } = configuration.callerLimits
    this.callerPort.setTimeouts(headerTimeoutMs, idleTimeoutMs)
    this.local.applyLimits()
    this.log.note('change', 'configuration_applied', { version: configuration.version, before, from, services: configuration.documents.length })
  }

  private async expireSilent (signal: AbortSignal): Promise<void> {
    const { own } = this.state
    while (!signal.aborted) {
      const timeoutMs = this.settings.heartbeat * MISSED_HEARTBEATS
      const sleptAt = this.clock.monotonic()
      await this.clock.sleep(EXPIRY_CHECK_MS, signal)
      // After a pause of this process the heartbeats sent meanwhile wait unread.
      if (this.clock.monotonic() - sleptAt > EXPIRY_CHECK_MS * 2) continue
      const silent = expireTargets(own, this.clock.monotonic(), timeoutMs)
      for (const { target } of silent) this.log.note('change', 'target_silent', { target, timeoutMs })
      if (silent.length === 0) continue
      this.announce(own.makeRecord())
      this.local.applyLimits()
    }
  }

  private serveAdmin (message: IncomingMessage, response: ServerResponse): void {
    const isKnown = message.url === '/metrics'
    response.writeHead(isKnown ? 200 : 404, { 'content-type': 'text/plain; version=0.0.4' })
    response.end(isKnown ? this.metrics.formatText() + formatProcess() : 'try /metrics\n')
  }

  private makeCallerContext (): CallerContext {
    const { settings, front } = this.parts
    const { clock, random, metrics, state } = this
    const { suspects } = state
    const budget = { ratio: settings['retry-ratio'], extra: settings['retry-extra'], windowMs: settings['retry-window'] }
    return {
      host: settings.host,
      clock,
      random,
      metrics,
      inbound: { local: this.local, exchanger: this.targetExchanger, clock, crashes: this.crashes, suspects, front, holdBytes: HOLD_BYTES },
      suspects,
      peers: this.peerExchanger,
      picker: new DelayPicker({ host: settings.host, zone: settings.zone, region: settings.region }, clock, random),
      retry: new SharedBudgetPolicy(budget, () => state.members.size, clock),
      getSnapshot: () => state.table.current,
      isReady: () => state.isReady,
      keepBytes: KEEP_BYTES,
      getEndsInMs: () => this.getEndsInMs(),
      onFailure: (call, failure) => { this.noteFailure(call, failure) },
      onAttemptFailed: failed => { this.noteAttempt(failed) }
    }
  }

  private getEndsInMs (): number | undefined {
    const sinceMs = this.clock.monotonic() - this.stoppingAt
    return !this.isStopping || sinceMs < SPREAD_MS ? undefined : this.settings.grace - EXIT_MS - sinceMs
  }

  private noteAttempt ({ call, service, target, number, failure, decision, leftMs }: FailedAttempt): void {
    this.log.note('detail', 'attempt_failed', {
      request: call.request,
      service,
      target: target.id,
      attempt: number,
      verdict: failure.verdict,
      code: failure.code,
      reached: failure.reached ?? false,
      message: failure.message,
      leftMs: Math.round(leftMs),
      next: typeof decision === 'number' ? 'another target' : decision
    })
  }

  private noteFailure (call: Call, { verdict, code, message, status, retryAfterMs }: Failure): void {
    this.log.note('failure', 'request_failed', {
      request: call.request,
      method: call.method,
      path: call.path,
      verdict,
      code,
      status,
      message,
      retryAfterMs,
      deadlineMs: call.deadlineMs,
      version: this.state.version
    })
  }
}
