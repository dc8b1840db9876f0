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
  Dialer, makeFetchAnswer, makeStatus, MsgpackCodec, PeerClient, receiveRecords, Replica, serveSubscriber, startPeerServer, SubscriberRegistry
} from '../peer/index.js'
import type { DrainAnswer, DrainRequest, PeerCredentials, PeerHandlers, Receiver } from '../peer/index.js'
import { CountingObjectStore, HttpObjectStore } from '../platform/index.js'
import { BudgetRetryPolicy, LocalTargets, matchesSecret, serveCaller, serveInbound, takeToken, TokenExchanger, UndiciExchanger, writeFailure, ZonePicker } from '../request/index.js'
import type { CallerContext, Exchanger } from '../request/index.js'
import { EventRing, filterEvents, HybridClock, Recorder } from '../timeline/index.js'
import { startServer } from './http.js'
import type { NodeSettings } from './settings.js'
import { serveAdmin } from './tasks/admin.js'
import { fetchState } from './tasks/fetch.js'
import { Follower } from './tasks/follow.js'
import { recordChanges } from './tasks/observe.js'
import { expireSilent, serveLocal } from './tasks/local.js'

const TARGET_CONNECTIONS = 130
const PEER_CONNECTIONS = 256
const DRAIN_CHECK_MS = 20

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
  private readonly stopped = new AbortController()
  private readonly https: HttpServer[] = []
  private peerServer: PeerServer | undefined
  private following: Promise<void> = Promise.resolve()
  private inFlight = 0
  private stopping: Promise<void> | undefined

  constructor (private readonly settings: NodeSettings, private readonly credentials: PeerCredentials, dialer: Dialer = new Dialer()) {
    this.createLog = prefix => createLogger(prefix, settings['log-level'])
    this.recorder = new Recorder(this.ring, new HybridClock(this.clock), settings.host, settings.zone)
    this.replica = new Replica({
      host: settings.host,
      zone: settings.zone,
      region: settings.region,
      inbound: settings.inbound,
      peer: settings.peer,
      admin: settings.admin,
      incarnation: this.clock.now()
    })
    this.receiver = { replica: this.replica, clock: this.clock, onApplied: entry => { this.noteApplied(entry) } }
    this.registry = new SubscriberRegistry({ fanOut: settings['fan-out'], perSecond: settings['admit-per-second'] }, this.clock)
    this.store = new HttpObjectStore(settings.platform)
    this.client = new PeerClient(new MsgpackCodec(), dialer, credentials.client)
    const plain = new UndiciExchanger(PEER_CONNECTIONS, address => dialer.resolve(address))
    const token = settings['peer-token']
    this.peerExchanger = token === undefined ? plain : new TokenExchanger(plain, token)
    this.local = new LocalTargets(this.replica.own, () => this.replica.table.current, this.clock)
  }

  async start (): Promise<void> {
    const { settings, replica } = this
    this.recorder.record('node-started', `zone ${settings.zone}`)
    receiveRecords(this.receiver, [replica.own.makeRecord()])
    this.peerServer = await startPeerServer(settings.peer, new MsgpackCodec(), this.makePeerHandlers(), this.credentials.server)
    const localContext = { receiver: this.receiver, clock: this.clock, recorder: this.recorder, log: this.createLog('member') }
    const callerContext = this.makeCallerContext()
    this.https.push(
      await startServer(settings.caller, async (message, response) => { await this.track(serveCaller(callerContext, message, response)) }),
      await startServer(settings.inbound, async (message, response) => { await this.track(this.serveNode(callerContext, message, response)) }),
      await startServer(settings.local, async (message, response) => { await serveLocal(localContext, message, response) }),
      await startServer(settings.admin, async (message, response) => { await serveAdmin({ replica, metrics: this.metrics }, message, response) })
    )
    void expireSilent(localContext, this.stopped.signal)
    recordChanges(replica, this.recorder, this.stopped.signal)
    this.following = this.followTree()
    this.createLog('node').info(`${settings.host} in ${settings.zone} serves callers on ${settings.caller}`)
  }

  /** Announces leaving, lets requests in flight end, releases duties. Safe to call again. */
  async stop (): Promise<void> {
    this.stopping ??= this.shutDown()
    await this.stopping
  }

  private async shutDown (): Promise<void> {
    this.recorder.record('node-stopping', 'draining')
    receiveRecords(this.receiver, [leaveHost(this.replica.own)])
    const endsAt = this.clock.monotonic() + this.settings['drain-timeout']
    while (this.inFlight > 0 && this.clock.monotonic() < endsAt) await this.clock.sleep(DRAIN_CHECK_MS)
    this.stopped.abort()
    await this.following
    this.peerServer?.forceShutdown()
    this.client.close()
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

  private async track (work: Promise<void>): Promise<void> {
    this.inFlight += 1
    try {
      await work
    } finally {
      this.inFlight -= 1
    }
  }

  private async followTree (): Promise<void> {
    await fetchState(this.receiver, this.client, this.settings.peers, this.createLog('peer'))
    await this.makeFollower().run(this.stopped.signal)
  }

  private makeFollower (): Follower {
    const { receiver, registry, client, clock, random, recorder, settings } = this
    const count = (call: string, kind: string): void => { this.metrics.count('platform_calls_total', { call, kind }) }
    return new Follower({
      receiver,
      registry,
      open: address => client.openSubscription(address),
      clock,
      random,
      recorder,
      store: new CountingObjectStore(this.store, count),
      peerLog: this.createLog('peer'),
      dutyLog: this.createLog('duty'),
      bootstrap: settings.peers,
      platformRegion: settings['platform-region']
    })
  }

  private makePeerHandlers (): PeerHandlers {
    const { replica, receiver, registry } = this
    const publisher = { receiver, registry, log: this.createLog('peer') }
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
    receiveRecords(this.receiver, [leaveHost(this.replica.own)])
    return { accepted: true, message: `${this.settings.host} gets no new work` }
  }

  private makeCallerContext (): CallerContext {
    const { settings, clock, random, metrics, replica } = this
    return {
      host: settings.host,
      clock,
      random,
      metrics,
      inbound: { local: this.local, exchanger: this.targetExchanger },
      peers: this.peerExchanger,
      picker: new ZonePicker(settings.zone, settings.region, random),
      retry: new BudgetRetryPolicy(clock, random),
      getSnapshot: () => replica.table.current,
      isReady: () => replica.ready,
      isLeaving: () => replica.own.isLeaving,
      onFailure: (call, failure) => {
        this.recorder.record('call-failed', `${failure.verdict} ${failure.code}: ${failure.message}`, { service: call.service, request: call.request })
      }
    }
  }

  private noteApplied ({ service, version, acceptedAt }: { service: string, version: number, acceptedAt: number }): void {
    this.metrics.observe('convergence_ms', this.clock.now() - acceptedAt)
    this.recorder.record('document-applied', 'in force', { service, version })
  }
}
