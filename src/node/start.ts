/**
 * Assembles one node from its settings: state, servers and tasks.
 */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http'
import type { Server as PeerServer } from '@grpc/grpc-js'
import { createLogger, makeFailure, SystemClock, SystemRandom } from '../core/index.js'
import type { LogFactory } from '../core/index.js'
import { leaveHost } from '../membership/index.js'
import { Metrics } from '../metrics/index.js'
import {
  awaitReturn, ControlMeter, Dialer, makeFetchAnswer, makeStatus, MsgpackCodec, PeerClient, receiveRecords, Replica, serveSubscriber, startPeerServer,
  SubscriberRegistry
} from '../peer/index.js'
import type { AbsenceContext, DrainAnswer, DrainRequest, PeerCredentials, PeerHandlers, Receiver } from '../peer/index.js'
import { CountingObjectStore, HttpObjectStore } from '../store/index.js'
import type { ObjectStore } from '../store/index.js'
import {
  BudgetRetryPolicy, CrashWatch, isRefused, LocalTargets, matchesSecret, OwnFront, serveCaller, serveInbound, takeToken, TokenExchanger,
  UndiciExchanger, writeFailure, ZonePicker
} from '../request/index.js'
import type { CallerContext, Exchanger } from '../request/index.js'
import { EventRing, filterEvents, Recorder } from '../timeline/index.js'
import { startServer } from './http.js'
import { HttpPort } from './port.js'
import type { NodeSettings } from './settings.js'
import { drainPorts, SPREAD_MS } from './shutdown.js'
import { serveAdmin } from './tasks/admin.js'
import { fetchState } from './tasks/fetch.js'
import { Follower } from './tasks/follow.js'
import { recordChanges } from './tasks/observe.js'
import { expireSilent, serveLocal } from './tasks/local.js'
import { answerChallenges, pruneMembers } from './tasks/members.js'

const TARGET_CONNECTIONS = 130
const PEER_CONNECTIONS = 256
/** Releasing a duty takes two calls to the platform; one that does not answer must not hold up the exit. */
const RELEASE_LIMIT_MS = 2_000

/** `cut` when the drain timeout passed with requests in flight. */
export type StopResult = 'whole' | 'cut'

export class Node {
  readonly metrics = new Metrics()
  readonly ring = new EventRing()
  private readonly clock = new SystemClock()
  private readonly random = new SystemRandom()
  private readonly createLog: LogFactory
  private readonly recorder: Recorder
  private readonly replica: Replica
  private readonly receiver: Receiver
  private readonly registry: SubscriberRegistry
  private readonly store: HttpObjectStore
  private readonly client: PeerClient
  private readonly targetExchanger = new UndiciExchanger(TARGET_CONNECTIONS)
  private readonly peerExchanger: Exchanger
  private readonly local: LocalTargets
  private readonly crashes: CrashWatch
  private readonly countedStore: ObjectStore
  private readonly stopped = new AbortController()
  private readonly callerPort: HttpPort
  private readonly inboundPort: HttpPort
  private readonly meter: ControlMeter
  private readonly https: HttpServer[] = []
  private peerServer: PeerServer | undefined
  private following: Promise<void> = Promise.resolve()
  private leftAt: number | undefined
  private stopping: Promise<StopResult> | undefined

  constructor (private readonly settings: NodeSettings, private readonly credentials: PeerCredentials, dialer: Dialer = new Dialer()) {
    this.createLog = prefix => createLogger(prefix, settings['log-level'])
    this.replica = new Replica({
      host: settings.host,
      zone: settings.zone,
      region: settings.region,
      inbound: settings.inbound,
      peer: settings.peer,
      admin: settings.admin,
      incarnation: this.clock.now()
    }, this.clock)
    this.recorder = new Recorder(this.ring, this.replica.time, settings.host, settings.zone)
    this.crashes = new CrashWatch(settings.host, this.replica.suspects, isRefused)
    this.receiver = {
      replica: this.replica,
      clock: this.clock,
      onApplied: entry => { this.noteApplied(entry) },
      onHeld: ({ service, version }, reason) => { this.recorder.record('document-held', reason, { service, version }) }
    }
    this.registry = new SubscriberRegistry({ fanOut: settings['fan-out'], perSecond: settings['admit-per-second'] }, this.clock)
    this.store = new HttpObjectStore(settings.platform)
    this.countedStore = new CountingObjectStore(this.store, (call, kind) => { this.metrics.count('platform_calls_total', { call, kind }) })
    this.meter = new ControlMeter(new MsgpackCodec(), settings, ({ kind, link, direction, bytes }) => {
      const labels = { kind, link, direction }
      this.metrics.count('control_messages_total', labels)
      this.metrics.count('control_bytes_total', labels, bytes)
    })
    this.client = new PeerClient(this.meter.codec, dialer, credentials.client, [this.meter.clientInterceptor])
    const plain = new UndiciExchanger(PEER_CONNECTIONS, address => dialer.resolve(address))
    const token = settings['peer-token']
    this.peerExchanger = token === undefined ? plain : new TokenExchanger(plain, token)
    this.local = new LocalTargets(this.replica.own, () => this.replica.table.current, this.clock)
    const callerContext = this.makeCallerContext()
    this.callerPort = new HttpPort(async (message, response) => { await serveCaller(callerContext, message, response) })
    this.inboundPort = new HttpPort(async (message, response) => { await this.serveNode(callerContext, message, response) })
  }

  async start (): Promise<void> {
    const { settings, replica, receiver, clock, recorder, meter, stopped: { signal } } = this
    recorder.record('node-started', `zone ${settings.zone}`)
    receiveRecords(receiver, [replica.own.makeRecord()])
    this.peerServer = await startPeerServer(settings.peer, meter.codec, this.makePeerHandlers(), this.credentials.server, [meter.serverInterceptor])
    const memberContext = { receiver, clock, recorder, log: this.createLog('member'), crashes: this.crashes }
    const adminContext = { replica, metrics: this.metrics, countInFlight: () => this.callerPort.inFlight.size + this.inboundPort.inFlight.size }
    await this.callerPort.listen(settings.caller)
    await this.inboundPort.listen(settings.inbound)
    this.https.push(
      await startServer(settings.local, async (message, response) => {
        await serveLocal(memberContext, message, response)
        this.local.applyLimits()
      }),
      await startServer(settings.admin, async (message, response) => { await serveAdmin(adminContext, message, response) })
    )
    void expireSilent(memberContext, signal)
    void answerChallenges(memberContext, signal)
    void pruneMembers(memberContext, signal)
    recordChanges(replica, recorder, signal)
    this.following = this.followTree()
    this.createLog('node').info(`${settings.host} in ${settings.zone} serves callers on ${settings.caller}`)
  }

  /** Announces leaving, lets requests in flight end, releases duties. Safe to call again. */
  async stop (): Promise<StopResult> {
    this.stopping ??= this.shutDown()
    return await this.stopping
  }

  private async shutDown (): Promise<StopResult> {
    const { clock, settings, callerPort: caller, inboundPort: inbound } = this
    this.recorder.record('node-stopping', 'draining')
    const sinceLeftMs = clock.monotonic() - this.leave()
    const whole = await drainPorts({ caller, inbound, clock }, Math.max(0, SPREAD_MS - sinceLeftMs), settings['drain-timeout'])
    if (!whole) this.createLog('node').warn(`drain timeout passed; cut ${caller.inFlight.size + inbound.inFlight.size} requests in flight`)
    await this.close()
    return whole ? 'whole' : 'cut'
  }

  /** Spreads that this host is leaving, once. Gives the monotonic time at which it began to. */
  private leave (): number {
    const record = leaveHost(this.replica.own)
    if (record !== undefined) {
      receiveRecords(this.receiver, [record])
      this.recorder.record('target-leaving', 'the host leaves with all its targets', { host: record.host })
    }
    this.leftAt ??= this.clock.monotonic()
    return this.leftAt
  }

  /** Subscribers are served until the duties are released, so that one of them can claim at once. */
  private async close (): Promise<void> {
    this.stopped.abort()
    const released = new AbortController()
    await Promise.race([this.following, this.clock.sleep(RELEASE_LIMIT_MS, released.signal)])
    released.abort()
    this.peerServer?.forceShutdown()
    this.client.close()
    for (const port of [this.callerPort, this.inboundPort]) port.shut()
    for (const server of this.https) {
      server.close()
      server.closeAllConnections()
    }
    await Promise.all([this.targetExchanger.close(), this.peerExchanger.close(), this.store.close()])
  }

  private async serveNode ({ inbound }: CallerContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (takeToken(message, this.settings['peer-token'])) await serveInbound(inbound, message, response)
    else writeFailure(response, makeFailure('not-run', 403, 'bad_token', 'wrong or missing peer token'), '')
  }

  private async followTree (): Promise<void> {
    await fetchState(this.receiver, this.client, this.settings.peers, this.createLog('peer'))
    await this.makeFollower().run(this.stopped.signal)
  }

  private makeFollower (): Follower {
    const { receiver, registry, client, clock, random, recorder, settings } = this
    return new Follower({
      receiver,
      registry,
      open: address => client.openSubscription(address),
      clock,
      random,
      recorder,
      store: this.countedStore,
      peerLog: this.createLog('peer'),
      dutyLog: this.createLog('duty'),
      bootstrap: settings.peers,
      platformRegion: settings['platform-region'],
      onGone: peer => { this.watchPeer(peer) }
    })
  }

  private makeAbsenceContext (): AbsenceContext {
    const { receiver, registry, stopped: { signal } } = this
    const isBack = (host: string): boolean => registry.has(host) || receiver.replica.place.path.includes(host)
    return { receiver, isBack, log: this.createLog('peer'), signal }
  }

  /** A relay is subscribed in another zone, where nobody may mark it, so its subscribers and its successor watch for its return. */
  private watchPeer (peer: string): void {
    const record = this.replica.listRecords().find(one => one.peer === peer)
    if (record !== undefined) void awaitReturn(this.makeAbsenceContext(), record.host)
  }

  private makePeerHandlers (): PeerHandlers {
    const { replica, registry } = this
    const publisher = { ...this.makeAbsenceContext(), registry }
    return {
      subscribe: async call => { await serveSubscriber(publisher, call) },
      fetch: () => makeFetchAnswer(replica),
      status: () => makeStatus(replica),
      timeline: ({ filter }) => ({ events: filterEvents(this.ring.list(), filter) }),
      drain: request => this.acceptDrain(request)
    }
  }

  private acceptDrain ({ token }: DrainRequest): DrainAnswer {
    const expected = this.settings['operator-token']
    if (expected !== undefined && !matchesSecret(token, expected)) return { accepted: false, message: 'wrong or missing operator token' }
    this.leave()
    return { accepted: true, message: `${this.settings.host} gets no new work` }
  }

  private makeCallerContext (): CallerContext {
    const { settings, clock, random, metrics, replica } = this
    return {
      host: settings.host,
      clock,
      random,
      metrics,
      inbound: {
        local: this.local,
        exchanger: this.targetExchanger,
        clock,
        crashes: this.crashes,
        suspects: replica.suspects,
        front: new OwnFront(),
        holdBytes: 0
      },
      suspects: replica.suspects,
      peers: this.peerExchanger,
      picker: new ZonePicker({ zone: settings.zone, region: settings.region }, clock, random),
      retry: new BudgetRetryPolicy(clock, random),
      getSnapshot: () => replica.table.current,
      isReady: () => replica.ready,
      onFailure: (call, failure) => {
        this.recorder.record('call-failed', `${failure.verdict} ${failure.code}: ${failure.message}`, { service: call.service, request: call.request })
      }
    }
  }

  private noteApplied ({ service, version, acceptedAt }: { service: string, version: number, acceptedAt: number }): void {
    this.local.applyLimits()
    // What a starting node takes first was accepted before it was there to apply it.
    if (this.replica.ready) this.metrics.observe('convergence_ms', this.clock.now() - acceptedAt)
    this.recorder.record('document-applied', 'in force', { service, version })
  }
}
