/**
 * Assembles one node from its settings: state, servers and tasks.
 */
import type { Server as HttpServer } from 'node:http'
import type { Server as PeerServer } from '@grpc/grpc-js'
import { createLogger, SystemClock, SystemRandom } from '../core/index.js'
import type { LogFactory } from '../core/index.js'
import { leaveHost } from '../membership/index.js'
import { Metrics } from '../metrics/index.js'
import {
  Dialer, makeFetchAnswer, makeStatus, MsgpackCodec, PeerClient, receiveRecords, Replica, serveSubscriber, startPeerServer, SubscriberRegistry
} from '../peer/index.js'
import type { DrainAnswer, DrainRequest, PeerHandlers, Receiver } from '../peer/index.js'
import { CountingObjectStore, HttpObjectStore } from '../platform/index.js'
import type { ObjectStore } from '../platform/index.js'
import { ClaimLedger } from '../once/index.js'
import { BudgetRetryPolicy, CrashWatch, isRefused, KeptBodies, LocalTargets, serveCaller, serveInbound, UndiciExchanger, ZonePicker } from '../request/index.js'
import { EventRing, HybridClock, Recorder } from '../timeline/index.js'
import { startServer } from './http.js'
import type { NodeSettings } from './settings.js'
import { serveAdmin } from './tasks/admin.js'
import { Follower } from './tasks/follow.js'
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
  private readonly store: HttpObjectStore
  private readonly client: PeerClient
  private readonly targetExchanger = new UndiciExchanger(TARGET_CONNECTIONS)
  private readonly peerExchanger: UndiciExchanger
  private readonly local: LocalTargets
  private readonly crashes: CrashWatch
  private readonly countedStore: ObjectStore
  private readonly stopped = new AbortController()
  private readonly https: HttpServer[] = []
  private peerServer: PeerServer | undefined
  private following: Promise<void> = Promise.resolve()
  private inFlight = 0
  private stopping: Promise<void> | undefined

  constructor (private readonly settings: NodeSettings, dialer: Dialer = new Dialer()) {
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
    }, this.clock)
    this.crashes = new CrashWatch(settings.host, this.replica.suspects, isRefused)
    this.receiver = { replica: this.replica, clock: this.clock, onApplied: entry => { this.noteApplied(entry) } }
    this.store = new HttpObjectStore(settings.platform)
    this.countedStore = new CountingObjectStore(this.store, (call, kind) => { this.metrics.count('platform_calls_total', { call, kind }) })
    this.client = new PeerClient(new MsgpackCodec(), dialer)
    this.peerExchanger = new UndiciExchanger(PEER_CONNECTIONS, address => dialer.resolve(address))
    this.local = new LocalTargets(this.replica.own, () => this.replica.table.current, this.clock)
  }

  async start (): Promise<void> {
    const { settings, replica } = this
    this.recorder.record('node-started', `zone ${settings.zone}`)
    receiveRecords(this.receiver, [replica.own.makeRecord()])
    this.peerServer = await startPeerServer(settings.peer, new MsgpackCodec(), this.makePeerHandlers())
    const localContext = { receiver: this.receiver, clock: this.clock, recorder: this.recorder, log: this.createLog('member'), crashes: this.crashes }
    const callerContext = this.makeCallerContext()
    this.https.push(
      await startServer(settings.caller, async (message, response) => { await this.track(serveCaller(callerContext, message, response)) }),
      await startServer(settings.inbound, async (message, response) => { await this.track(serveInbound(callerContext.inbound, message, response)) }),
      await startServer(settings.local, async (message, response) => { await serveLocal(localContext, message, response) }),
      await startServer(settings.admin, async (message, response) => { await serveAdmin({ replica, metrics: this.metrics }, message, response) })
    )
    void expireSilent(localContext, this.stopped.signal)
    this.following = this.makeFollower().run(this.stopped.signal)
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

  private async track (work: Promise<void>): Promise<void> {
    this.inFlight += 1
    try {
      await work
    } finally {
      this.inFlight -= 1
    }
  }

  private makeFollower (): Follower {
    const { receiver, client, clock, random, recorder, settings } = this
    return new Follower({
      receiver,
      client,
      clock,
      random,
      recorder,
      store: this.countedStore,
      peerLog: this.createLog('peer'),
      dutyLog: this.createLog('duty'),
      bootstrap: settings.peers,
      platformRegion: settings['platform-region']
    })
  }

  private makePeerHandlers (): PeerHandlers {
    const { replica, receiver, settings } = this
    const limits = { fanOut: settings['fan-out'], perSecond: settings['admit-per-second'] }
    const registry = new SubscriberRegistry(limits, this.clock)
    const publisher = { receiver, registry, limits, log: this.createLog('peer') }
    return {
      subscribe: async call => { await serveSubscriber(publisher, call) },
      fetch: () => makeFetchAnswer(replica),
      status: () => makeStatus(replica),
      timeline: () => ({ events: [...this.ring.list()] }),
      drain: request => this.acceptDrain(request)
    }
  }

  private acceptDrain ({ token }: DrainRequest): DrainAnswer {
    const expected = this.settings['operator-token']
    if (expected !== undefined && token !== expected) return { accepted: false, message: 'wrong or missing operator token' }
    receiveRecords(this.receiver, [leaveHost(this.replica.own)])
    return { accepted: true, message: `${this.settings.host} gets no new work` }
  }

  private makeCallerContext (): Parameters<typeof serveCaller>[0] {
    const { settings, clock, random, metrics, replica } = this
    return {
      host: settings.host,
      clock,
      random,
      metrics,
      inbound: { local: this.local, exchanger: this.targetExchanger, crashes: this.crashes, suspects: replica.suspects },
      suspects: replica.suspects,
      peers: this.peerExchanger,
      picker: new ZonePicker(settings.zone, settings.region, random),
      retry: new BudgetRetryPolicy(clock, random),
      once: { ledger: new ClaimLedger({ node: settings.host, store: this.countedStore, clock, random }), bodies: new KeptBodies(), clock },
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
    this.recorder.record('document-applied', `${service} version ${version}`, { service, version })
  }
}
