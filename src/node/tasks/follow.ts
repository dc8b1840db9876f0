/**
 * The task that keeps a node attached to the distribution tree: it picks an upstream, follows it
 * until it fails, and claims a duty where no upstream is left.
 */
import { computeBackoff } from '../../core/index.js'
import type { Clock, Logger, Random } from '../../core/index.js'
import { formatHeadDuty, formatRelayDuty, isClaimable, PlatformUpstream, readLease } from '../../duty/index.js'
import type { HeldLease, Lease } from '../../duty/index.js'
import { DetachedUpstream, PeerUpstream, RETRY_UNROOTED_MS } from '../../peer/index.js'
import type { OpenCall, Receiver, Replica, SubscriberRegistry, Upstream, UpstreamEnd } from '../../peer/index.js'
import type { ObjectStore } from '../../store/index.js'
import type { Recorder } from '../../timeline/index.js'
import { Duties } from '../duties.js'
import { PeerFailures } from '../failures.js'
import { findDuty, hasHead, isCandidate, listAnyone, listCandidates } from '../queries/candidates.js'
import type { Known } from '../queries/candidates.js'
import { RootTicker } from './root.js'
import { Seeker } from './seek.js'

const BACKOFF = { baseMs: 100, maxMs: 2_000 }
/** For peers that are about to find an upstream themselves; only the subscribers of one lost node wait for them. */
const UNROOTED_ATTEMPTS = 2
/** How often a node in a makeshift position looks for a better one. */
const SEEK_INTERVAL_MS = 1_000
/** Nodes that are not candidates ask the platform only after so long without an upstream. */
const LONE_MS = 5_000
const LONE_SPREAD_MS = 3_000

export interface FollowContext {
  receiver: Receiver
  registry: SubscriberRegistry
  store: ObjectStore
  open: OpenCall
  clock: Clock
  random: Random
  recorder: Recorder
  peerLog: Logger
  dutyLog: Logger
  bootstrap: readonly string[]
  platformRegion: string
  /** Told of the peer address of an upstream that ended its stream, and of a holder whose lease this node took over. */
  onGone: (peer: string) => void
}

export class Follower {
  private readonly replica: Replica
  private readonly originDuty: string
  private readonly failures: PeerFailures
  /** Peers that answered and hold no duty, whatever a lease says of them: their process restarted. */
  private readonly idle: PeerFailures
  private readonly duties: Duties
  private readonly root: RootTicker
  private readonly seeker: Seeker
  private known: Known
  private position = new AbortController()
  private lifetime = new AbortController().signal
  private askPlatformAt: number
  private sawUnrooted = false

  constructor (private readonly context: FollowContext) {
    const { receiver: { replica }, clock, dutyLog, bootstrap, platformRegion } = context
    this.replica = replica
    this.originDuty = formatHeadDuty(platformRegion)
    this.failures = new PeerFailures(clock)
    this.idle = new PeerFailures(clock)
    this.root = new RootTicker(replica, clock)
    this.known = { above: [], candidates: [], below: [], holders: [], bootstrap }
    this.askPlatformAt = this.computeAskTime()
    this.duties = new Duties({
      ...context,
      replica,
      log: dutyLog,
      getLifetime: () => this.lifetime,
      isRoot: duty => duty.startsWith('head-') && this.root.isActive,
      onSource: (duty, up) => { this.noteSource(duty, up) },
      onLost: (duty, successor) => { this.followSuccessor(duty, successor) }
    })
    this.seeker = new Seeker({
      ...context,
      replica,
      duties: this.duties,
      failures: this.failures,
      originDuty: this.originDuty,
      getKnown: () => this.known,
      claim: async (duty, held) => await this.claimDuty(duty, held),
      getPosition: () => this.position
    })
  }

  async run (signal: AbortSignal): Promise<void> {
    this.lifetime = signal
    void this.root.run(signal)
    let failures = 0
    while (!signal.aborted) {
      this.position = new AbortController()
      this.sawUnrooted = false
      const attached = await this.followOnce(AbortSignal.any([signal, this.position.signal]))
      failures = attached ? 0 : Math.min(failures + 1, this.sawUnrooted ? UNROOTED_ATTEMPTS : Infinity)
      await this.context.clock.sleep(computeBackoff(failures, BACKOFF, this.context.random), signal)
    }
    await this.duties.awaitReleased()
  }

  private get isOrigin (): boolean {
    return this.replica.duties.has(this.originDuty)
  }

  /** True when an upstream was followed for a while. */
  private async followOnce (signal: AbortSignal): Promise<boolean> {
    if (this.isOrigin) return await this.followPlatform(signal) || await this.followWithoutPlatform(signal)
    const needsSource = hasHead(this.replica)
    if (await this.followFirst(listCandidates(this.replica, this.known), signal, needsSource)) return true
    if (signal.aborted) return true
    return await this.seekDuty(signal)
  }

  /** Tries peers in order, and those that they redirect to, until one accepts. */
  private async followFirst (peers: readonly string[], signal: AbortSignal, needsSource = false): Promise<boolean> {
    const queue = [...peers]
    const tried = new Set<string>()
    while (queue.length > 0 && !signal.aborted) {
      const address = queue.shift() as string
      if (tried.has(address) || this.failures.has(address)) continue
      tried.add(address)
      const upstream = this.makePeerUpstream(address, needsSource)
      const end = await this.followUpstream(upstream, signal)
      if (upstream.attached) return true
      if (end.reason === 'retry') this.noteRetry(address, end)
      if (end.reason === 'redirect') queue.unshift(...this.orderRandomly(end.peers))
    }
    return false
  }

  private noteRetry (address: string, { afterMs, duties }: Extract<UpstreamEnd, { reason: 'retry' }>): void {
    if (afterMs <= RETRY_UNROOTED_MS) this.sawUnrooted = true
    if (duties.length === 0) this.idle.note(address)
  }

  private makePeerUpstream (address: string, needsSource: boolean): PeerUpstream {
    const { receiver, open, peerLog } = this.context
    return new PeerUpstream({ receiver, open, address, log: peerLog, needsSource })
  }

  /** Follows one upstream. `seek` looks for a better one meanwhile, to which the node moves once that has accepted it. */
  private async followUpstream (upstream: Upstream, signal: AbortSignal, seek?: () => Promise<string[]>): Promise<UpstreamEnd> {
    const stop = new AbortController()
    const inner = AbortSignal.any([signal, stop.signal])
    let seeking: Promise<void> = Promise.resolve()
    const onAttached = upstream.onAttached
    upstream.onAttached = () => {
      onAttached()
      this.noteAttached(upstream)
      const needsSource = upstream instanceof DetachedUpstream ? this.isOrigin : hasHead(this.replica)
      seeking = this.seekBetter(seek ?? (async () => await this.seeker.listForFollower()), needsSource, stop, signal)
    }
    const end = await upstream.run(inner)
    const isMoved = stop.signal.aborted
    stop.abort()
    await seeking
    if (!isMoved) this.noteEnd(upstream, end, signal)
    return end
  }

  private noteAttached (upstream: Upstream): void {
    const { peerLog, recorder } = this.context
    this.failures.clear(upstream.name)
    this.known = { ...this.known, holders: [], ...upstream instanceof DetachedUpstream ? {} : { below: [] } }
    if (!(upstream instanceof PeerUpstream)) this.root.start(upstream.name, upstream instanceof PlatformUpstream)
    else {
      this.root.stop()
      this.duties.noteFollowed(upstream.name)
      // Only an origin head without the platform follows a peer: the one that took its place.
      if (this.isOrigin) void this.duties.release(this.originDuty)
    }
    peerLog.info(`follows ${upstream.name}`)
    recorder.record('upstream-changed', upstream.name)
  }

  /** Without an upstream a holder of a duty goes on as a root, so that its subtree stays together. */
  private noteEnd (upstream: Upstream, end: UpstreamEnd, signal: AbortSignal): void {
    const { peerLog, recorder } = this.context
    const { replica } = this
    if (upstream instanceof PeerUpstream && ['closed', 'silent', 'stalled'].includes(end.reason)) this.failures.note(upstream.name)
    if (!upstream.attached) return
    if (!signal.aborted) {
      peerLog.info(`left ${upstream.name}: ${'detail' in end ? end.detail : end.reason}`)
      recorder.record('upstream-lost', `${upstream.name}: ${end.reason}`)
      if (end.reason === 'closed' || end.reason === 'silent') this.context.onGone(upstream.name)
    }
    const above = replica.place.pathPeers.filter(peer => peer !== replica.identity.peer).reverse()
    if (above.length > 0) this.known = { ...this.known, above, candidates: replica.place.candidates }
    this.askPlatformAt = this.computeAskTime()
    if (replica.duties.size > 0 && replica.ready) this.root.start('detached', false)
    else replica.moveTo({ ...replica.place, upstream: '' })
  }

  private async seekBetter (seek: () => Promise<string[]>, needsSource: boolean, stop: AbortController, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.context
    while (!stop.signal.aborted && !signal.aborted) {
      await clock.sleep(SEEK_INTERVAL_MS * (0.5 + random.next()), AbortSignal.any([stop.signal, signal]))
      if (stop.signal.aborted || signal.aborted) return
      for (const address of await seek()) {
        if (stop.signal.aborted || signal.aborted) return
        const upstream = this.makePeerUpstream(address, needsSource)
        upstream.onAttached = () => { stop.abort() }
        await this.followUpstream(upstream, signal)
      }
    }
  }

  /** No peer accepts: finds the holder of the duty above, or claims it. */
  private async seekDuty (signal: AbortSignal): Promise<boolean> {
    const { store, clock } = this.context
    if (!isCandidate(this.replica, this.known) && clock.monotonic() < this.askPlatformAt) return false
    const duty = findDuty(this.replica)
    if (duty === undefined) return await this.followOrigin(signal)
    const held = await readLease(store, duty)
    if (held.err) return await this.followWithoutPlatform(signal)
    if (await this.followHolder(held.val.lease, signal)) return true
    const successor = this.duties.hasLost(duty) ? held.val.lease : undefined
    if (successor?.released === false && !this.idle.has(successor.peer)) return await this.followWithoutPlatform(signal)
    return await this.claimDuty(duty, held.val)
  }

  private async followHolder (lease: Lease | undefined, signal: AbortSignal, needsSource = false): Promise<boolean> {
    const { identity } = this.replica
    if (lease === undefined || lease.released || lease.peer === identity.peer) return false
    return await this.followFirst([lease.peer], signal, needsSource)
  }

  private async claimDuty (duty: string, held: HeldLease): Promise<boolean> {
    const isGone = (peer: string): boolean => this.failures.has(peer) || this.idle.has(peer)
    if (this.lifetime.aborted || !isClaimable(held.lease, this.replica.identity.host, isGone)) return false
    const isClaimed = await this.duties.claim(duty, held)
    if (isClaimed && held.lease !== undefined) this.context.onGone(held.lease.peer)
    return isClaimed
  }

  /** The head of a region away from the platform: follows the origin head, else the platform itself. */
  private async followOrigin (signal: AbortSignal): Promise<boolean> {
    const held = await readLease(this.context.store, this.originDuty)
    if (held.err) return await this.followWithoutPlatform(signal)
    if (await this.followHolder(held.val.lease, signal, true)) return true
    return await this.followPlatform(signal)
  }

  private async followPlatform (signal: AbortSignal): Promise<boolean> {
    const { receiver, store, dutyLog } = this.context
    if (signal.aborted) return true
    const upstream = new PlatformUpstream(receiver, store, dutyLog)
    await this.followUpstream(upstream, signal, async () => await this.seeker.listForWatcher())
    return upstream.attached
  }

  private async followWithoutPlatform (signal: AbortSignal): Promise<boolean> {
    const peers = this.isOrigin ? [] : listAnyone(this.replica, this.known)
    if (await this.followFirst(peers, signal)) return true
    const mayServe = this.replica.ready && isCandidate(this.replica, this.known)
    if (!mayServe || signal.aborted) return false
    this.known = { ...this.known, below: [...new Set([...this.known.below, ...this.context.registry.listHolders()])] }
    await this.followUpstream(new DetachedUpstream(), signal, async () => await this.seeker.listForDetached())
    return true
  }

  private noteSource (duty: string, up: boolean): void {
    if (duty !== formatHeadDuty(this.replica.identity.region) || !this.root.isActive) return
    const wasUp = this.root.sourceUp
    this.root.sourceUp = up
    // The watch may stand on a connection that went silent.
    if (wasUp && !up) this.position.abort()
  }

  /** Another node has the duty: follow it. */
  private followSuccessor (duty: string, successor: Lease): void {
    const { identity } = this.replica
    this.known = { ...this.known, holders: [successor.peer] }
    if (duty === formatRelayDuty(identity.zone)) void this.duties.release(formatHeadDuty(identity.region))
    this.position.abort()
  }

  private computeAskTime (): number {
    return this.context.clock.monotonic() + LONE_MS + this.context.random.next() * LONE_SPREAD_MS
  }

  private orderRandomly (peers: readonly string[]): string[] {
    return peers.map(peer => ({ peer, rank: this.context.random.next() })).sort((left, right) => left.rank - right.rank).map(one => one.peer)
  }
}
