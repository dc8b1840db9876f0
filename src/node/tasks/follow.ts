/**
 * The task that keeps a node attached to the distribution tree: it picks an upstream, follows it
 * until it fails, and claims a duty where no upstream is left.
 */
import { computeBackoff } from '../../core/index.js'
import type { Clock, Logger, Random } from '../../core/index.js'
import { formatHeadDuty, holdLease, LeaseObserver, PlatformUpstream, readLease, writeLease } from '../../duty/index.js'
import type { HeldLease, LeaseGrant } from '../../duty/index.js'
import { PeerUpstream } from '../../peer/index.js'
import type { PeerClient, Receiver, Upstream, UpstreamEnd } from '../../peer/index.js'
import type { ObjectStore } from '../../platform/index.js'
import type { Recorder } from '../../timeline/index.js'
import { listCandidates, findDuty } from '../queries/candidates.js'

const BACKOFF = { baseMs: 100, maxMs: 2_000 }
const TICK_MS = 500
const SEEK_ORIGIN_MS = 3_000

export interface FollowContext {
  receiver: Receiver
  store: ObjectStore
  client: PeerClient
  clock: Clock
  random: Random
  recorder: Recorder
  peerLog: Logger
  dutyLog: Logger
  bootstrap: readonly string[]
  platformRegion: string
}

export class Follower {
  private readonly observer: LeaseObserver
  private readonly grants = new Map<string, Promise<void>>()
  private redirected: string[] = []
  private holders: string[] = []
  private sourceUp = false
  private move = new AbortController()

  constructor (private readonly context: FollowContext) {
    this.observer = new LeaseObserver(context.clock)
  }

  async run (signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      const attached = await this.followOnce(signal)
      failures = attached ? 0 : failures + 1
      if (!signal.aborted) await this.context.clock.sleep(computeBackoff(failures, BACKOFF, this.context.random), signal)
    }
    await Promise.allSettled(this.grants.values())
  }

  /** True when an upstream was followed for a while. */
  private async followOnce (signal: AbortSignal): Promise<boolean> {
    const { replica } = this.context.receiver
    const headsPlatform = replica.duties.has(formatHeadDuty(this.context.platformRegion))
    if (headsPlatform) return await this.followUpstream(this.makePlatformUpstream(), signal, true)
    for (const address of listCandidates(replica, { redirected: this.redirected, holders: this.holders, bootstrap: this.context.bootstrap })) {
      if (signal.aborted) return false
      if (await this.followUpstream(this.makePeerUpstream(address), signal, false)) return true
    }
    this.redirected = []
    return await this.seekDuty(signal)
  }

  private makePlatformUpstream (): Upstream {
    const { receiver, store, dutyLog } = this.context
    return new PlatformUpstream(receiver, store, dutyLog)
  }

  private makePeerUpstream (address: string): Upstream {
    const { receiver, client, peerLog } = this.context
    return new PeerUpstream(receiver, peer => client.openSubscription(peer), address, peerLog)
  }

  private async followUpstream (upstream: Upstream, signal: AbortSignal, isRoot: boolean): Promise<boolean> {
    const { clock, peerLog, recorder } = this.context
    const startedAt = clock.monotonic()
    this.move = new AbortController()
    const stop = AbortSignal.any([signal, this.move.signal])
    const root = new AbortController()
    if (isRoot) void this.tickRoot(upstream.name, AbortSignal.any([stop, root.signal]))
    const end = await upstream.run(stop)
    root.abort()
    const attached = clock.monotonic() - startedAt > TICK_MS
    if (attached && !signal.aborted) {
      peerLog.info(`left upstream ${upstream.name}: ${end.reason}`)
      recorder.record('upstream-lost', `${upstream.name}: ${end.reason}`)
    }
    await this.heedEnd(end, signal)
    return attached
  }

  private async heedEnd (end: UpstreamEnd, signal: AbortSignal): Promise<void> {
    if (end.reason === 'redirect') this.redirected = end.peers
    else if (end.reason === 'retry') await this.context.clock.sleep(this.context.random.next() * end.afterMs, signal)
  }

  /** A node at the root of its tree counts the ticks that the nodes below see. */
  private async tickRoot (upstream: string, signal: AbortSignal): Promise<void> {
    const { receiver: { replica }, clock } = this.context
    while (!signal.aborted) {
      const { identity, place } = replica
      replica.moveTo({
        ...place, path: [identity.host], pathPeers: [identity.peer], tick: place.tick + 1, sourceUp: this.sourceUp, candidates: [], upstream
      })
      await clock.sleep(TICK_MS, signal)
    }
  }

  /** No upstream answers: finds the holder of the duty above, or claims it. */
  private async seekDuty (signal: AbortSignal): Promise<boolean> {
    const { receiver: { replica }, store, platformRegion } = this.context
    const duty = findDuty(replica)
    if (duty === undefined) return await this.seekOrigin(platformRegion, signal)
    const held = await readLease(store, duty)
    if (held.err) return await this.serveDetached(signal)
    if (!this.observer.observe(duty, held.val, replica.place.renewals[duty])) {
      this.noteHolder(held.val)
      return false
    }
    return await this.claimDuty(duty, held.val, signal)
  }

  private noteHolder (held: HeldLease): void {
    const peer = held.lease?.peer
    this.holders = peer === undefined || peer === this.context.receiver.replica.identity.peer ? [] : [peer]
  }

  private async claimDuty (duty: string, held: HeldLease, signal: AbortSignal): Promise<boolean> {
    const { receiver: { replica }, store, dutyLog, recorder } = this.context
    const lease = { holder: replica.identity.host, peer: replica.identity.peer, renewals: (held.lease?.renewals ?? 0) + 1, released: false }
    const written = await writeLease(store, duty, held.version, lease)
    if (written.err) return false
    dutyLog.info(`claimed ${duty}`)
    recorder.record('duty-claimed', duty)
    replica.duties.add(duty)
    this.holders = []
    this.sourceUp = true
    this.grants.set(duty, this.keepDuty(written.val, signal))
    return true
  }

  private async keepDuty (grant: LeaseGrant, signal: AbortSignal): Promise<void> {
    const { receiver: { replica }, store, clock, dutyLog, recorder } = this.context
    await holdLease({
      store,
      clock,
      log: dutyLog,
      onRenewed: ({ duty, lease }) => { replica.place = { ...replica.place, renewals: { ...replica.place.renewals, [duty]: lease.renewals } } },
      onSource: up => { this.sourceUp = up }
    }, grant, signal)
    replica.duties.delete(grant.duty)
    recorder.record('duty-lost', grant.duty)
    this.move.abort()
  }

  /** The head of a region away from the platform: follows the origin head, else the platform itself. */
  private async seekOrigin (platformRegion: string, signal: AbortSignal): Promise<boolean> {
    const held = await readLease(this.context.store, formatHeadDuty(platformRegion))
    if (held.err) return await this.serveDetached(signal)
    this.noteHolder(held.val)
    const address = this.holders[0]
    if (address !== undefined && await this.followUpstream(this.makePeerUpstream(address), signal, false)) return true
    return await this.followPlatform(signal)
  }

  /** Looks for the origin head again after a while, since otherwise the region would stay a tree of its own. */
  private async followPlatform (signal: AbortSignal): Promise<boolean> {
    const end = new AbortController()
    const stop = AbortSignal.any([signal, end.signal])
    void this.context.clock.sleep(SEEK_ORIGIN_MS, stop).then(() => { end.abort() })
    const attached = await this.followUpstream(this.makePlatformUpstream(), stop, true)
    end.abort()
    return attached
  }

  /** Neither an upstream nor the platform answers: a holder of a duty goes on as the root of what it can reach. */
  private async serveDetached (signal: AbortSignal): Promise<boolean> {
    const { receiver: { replica }, clock } = this.context
    if (replica.duties.size > 0 && replica.ready) {
      const { identity, place } = replica
      replica.moveTo({ ...place, path: [identity.host], pathPeers: [identity.peer], sourceUp: false, candidates: [], upstream: '' })
    }
    await clock.sleep(TICK_MS, signal)
    return false
  }
}
