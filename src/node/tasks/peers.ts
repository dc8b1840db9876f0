/**
 * The tasks that synchronize this node with its peers. Each local change is sent to peers immediately, and at
 * intervals the node compares its state with one peer, which repairs the effects of lost messages and partitions.
 */
import { applyChange } from '../../configuration/index.js'
import type { Configuration, ConfigurationChange } from '../../configuration/index.js'
import type { Clock, Random, StructuredLog } from '../../core/index.js'
import { evictTombstones, makeTombstone, REMOVE_UNREACHABLE_AFTER_MS } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { RolloutGuard } from '../../rollout/index.js'
import type { ExchangeRequest, ExchangeResponse, PeerTransport } from '../../peer/index.js'
import { clearCrashMarks } from '../../suspect/index.js'
import { storeRecords } from '../commands/records.js'
import { VersionLag } from '../lag.js'
import { collectZoneDigests, findDifferingBuckets, listBucketRecords, listNewer, listZoneHosts, makeExchangeResponse } from '../queries/difference.js'
import { selectComparedPeers, selectNotifiedPeers } from '../queries/notified.js'
import type { NotificationReach } from '../queries/notified.js'
import { deriveZoneRoles } from '../queries/readers.js'
import type { ZoneRoles } from '../queries/readers.js'
import type { NodeState } from '../state.js'
import { VersionAnnouncer } from './versions.js'

export interface PeerSynchronizerContext {
  state: NodeState
  transport: PeerTransport
  clock: Clock
  random: Random
  log: StructuredLog
  /** Absent where there are no rollouts. */
  rollouts?: RolloutGuard | undefined
  onConfiguration: (configuration: Configuration, from: string) => void
}

const EXCHANGE_INTERVAL_MS = 1_000
/** While the store does not respond to this node, it receives new versions only from peers. */
const STORE_LOST_EXCHANGE_INTERVAL_MS = 300
/** Exchanges with another zone or region cost billed bytes, so most exchanges stay in the same zone. */
const ANY_ZONE_SHARE = 0.05
const REGION_SHARE = 0.2
const STORE_LOST_ANY_ZONE_SHARE = 0.5
/** Of the nodes that a reader tells of versions, about this many ask it in each interval. In a zone of up to 99 hosts, all do. */
const CHECKS_PER_READER = 32
/** Several times what a node of the same zone takes to respond. */
const READER_TIMEOUT_MS = 300
const REMOVAL_CHECK_INTERVAL_MS = 10_000
/** Maximum time for which a starting node compares its state with peers, since some of them may not respond. */
const COMPARISON_TIMEOUT_MS = 500
/** Without a version, each of the compared peers would send its whole configuration, so a starting node waits for the source for a moment. */
const VERSION_WAIT_MS = 300

/** `version` 0 asks for the whole configuration. */
type ExchangePayload = Pick<ExchangeRequest, 'records' | 'cleared' | 'complete' | 'configurationChange'> & Partial<Pick<ExchangeRequest, 'version'>>

type OnResponse = (response: ExchangeResponse) => void

export const EMPTY_PAYLOAD: ExchangePayload = { records: [], cleared: [] }

export class PeerSynchronizer {
  /** The monotonic time since which a host has not responded to this node. */
  private readonly unreachableSince = new Map<string, number>()
  readonly lag: VersionLag
  private readonly announcer: VersionAnnouncer
  private isAwaitingVersion = false
  private isComparing = false
  private wakeComparison: (() => void) | undefined

  constructor (private readonly context: PeerSynchronizerContext) {
    const { state, clock } = context
    this.lag = new VersionLag(clock)
    this.announcer = new VersionAnnouncer({
      state, clock, deriveRoles: () => this.deriveRoles(), sendChange: async (host, change) => { await this.sendChange(host, change) }
    })
  }

  /**
   * Called when the hosts or a version have become known. Once a starting node knows the hosts, it compares its state with that of some
   * peers: they have records of the earlier processes of this host, and perhaps a newer version. A version that becomes known later is
   * compared anew.
   */
  async compareState (): Promise<void> {
    const { state, clock } = this.context
    if (state.configuration !== undefined) this.wakeComparison?.()
    if (this.isComparing || !state.knowsHosts || state.isReady || (state.isRecovered && state.configuration === undefined)) return
    this.isComparing = true
    const waited = new AbortController()
    this.wakeComparison = () => { waited.abort() }
    if (state.configuration === undefined) await clock.sleep(VERSION_WAIT_MS, waited.signal)
    const hasVersion = state.configuration !== undefined
    try {
      await this.exchangeWithSome()
    } finally {
      this.isComparing = false
      state.markRecovered()
      if (hasVersion) state.markCompared()
    }
    await this.compareState()
  }

  private async exchangeWithSome (): Promise<void> {
    const { state, clock, random } = this.context
    const peers = selectComparedPeers(state.listPeers(), state.identity.zone, random)
    const compared = Promise.all(peers.map(async peer => { await this.exchange(peer, EMPTY_PAYLOAD) }))
    await Promise.race([compared, clock.sleep(COMPARISON_TIMEOUT_MS)])
  }

  /** Handles the exchange request of a peer and returns the response. */
  respond (request: ExchangeRequest): ExchangeResponse {
    const { state, clock } = this.context
    state.time.advance(request.stamp)
    this.unreachableSince.delete(request.host)
    const response = { ...makeExchangeResponse(state, request), ...this.context.rollouts?.exchange(request) }
    storeRecords(state, { records: request.records, from: request.host }, clock)
    clearCrashMarks(state.suspects, request.cleared, request.host)
    const peer = state.members.get(request.host)
    if (peer === undefined) return response
    this.applyChange(peer, request.configurationChange)
    this.checkVersion(peer, request.version)
    return response
  }

  /** Exchanges state with one peer at a time until the signal aborts. */
  async exchangePeriodically (signal: AbortSignal): Promise<void> {
    const { clock, random, state } = this.context
    while (!signal.aborted) {
      await clock.sleep((state.hasSource ? EXCHANGE_INTERVAL_MS : STORE_LOST_EXCHANGE_INTERVAL_MS) * (0.5 + random.next()), signal)
      const peer = this.pickPeer()
      if (peer !== undefined && !signal.aborted) await this.exchange(peer, EMPTY_PAYLOAD)
    }
  }

  /** Removes hosts that have not responded for REMOVE_UNREACHABLE_AFTER_MS. Calls `onRemoved` for each of them. */
  async removeUnreachable (onRemoved: (host: string) => void, signal: AbortSignal): Promise<void> {
    const { state, clock } = this.context
    while (!signal.aborted) {
      await clock.sleep(REMOVAL_CHECK_INTERVAL_MS, signal)
      const now = clock.monotonic()
      evictTombstones(state.members, now)
      for (const [host, since] of this.unreachableSince) {
        const record = state.members.get(host)
        if (record === undefined) this.unreachableSince.delete(host)
        else if (now - since >= REMOVE_UNREACHABLE_AFTER_MS) this.removeHost(record, onRemoved)
      }
    }
  }

  /** Resolves when each notified peer has responded or failed to respond. Calls `onReceived` for each that has responded. */
  async notifyPeers (payload: Partial<ExchangePayload>, reach: NotificationReach, onReceived?: OnResponse): Promise<void> {
    const { state, random } = this.context
    const peers = selectNotifiedPeers(state.listPeers(), state.identity.zone, reach, random)
    await Promise.all(peers.map(async peer => { await this.notify(peer, { ...EMPTY_PAYLOAD, ...payload }, onReceived) }))
  }

  /**
   * A peer that responded until now gets the notification once more if it fails, since only the connection may have gone silent. The
   * periodic exchanges may bring the change too late: one may be waiting on the same connection, and the next one begins after its end.
   */
  private async notify (peer: HostRecord, payload: ExchangePayload, onReceived?: OnResponse): Promise<void> {
    const hasResponded = !this.unreachableSince.has(peer.host)
    if (!await this.exchange(peer, payload, onReceived) && hasResponded) await this.exchange(peer, payload, onReceived)
  }

  /** Calls `onReceived` if the peer responds. Resolves with false if it does not. */
  async exchange (peer: HostRecord, payload: ExchangePayload, onReceived?: OnResponse): Promise<boolean> {
    const { state, transport, clock } = this.context
    const request = {
      host: state.identity.host,
      version: state.version,
      wantsConfiguration: this.wantsConfiguration,
      zones: collectZoneDigests(state),
      stamp: state.time.advance(),
      ...this.context.rollouts?.makeExchangePart(),
      ...payload
    }
    const result = await transport.exchange(peer.peer, request)
    if (result.err) {
      if (!this.unreachableSince.has(peer.host)) this.unreachableSince.set(peer.host, clock.monotonic())
      return false
    }
    this.unreachableSince.delete(peer.host)
    onReceived?.(result.val)
    const { records, stamp, version, rollouts } = result.val
    if (rollouts !== undefined) this.context.rollouts?.apply(rollouts)
    state.time.advance(stamp)
    this.receiveConfiguration(peer, result.val)
    this.checkVersion(peer, version)
    storeRecords(state, { records, from: peer.host }, clock)
    state.knowsHosts = true
    void this.compareState()
    if (payload.records.length === 0 && payload.complete === undefined) await this.sendMissing(peer, result.val)
    return true
  }

  /**
   * Asks the reader that tells this node of new versions whether it follows the store. A reader that has failed tells nobody, so without
   * the question its silence would look like a store without changes.
   */
  async checkReader (): Promise<boolean> {
    const { state: { identity, members }, clock, random } = this.context
    const { readers, listFollowers } = this.deriveRoles()
    const host = readers.find(candidate => listFollowers(candidate).includes(identity.host)) ?? ''
    const reader = members.get(host)
    if (reader === undefined) return false
    if (random.next() * listFollowers(host).length >= CHECKS_PER_READER) return true
    let isFollowing = false
    const exchanged = this.exchange(reader, EMPTY_PAYLOAD, ({ followsSource }) => { isFollowing = followsSource })
    await Promise.race([exchanged, clock.sleep(READER_TIMEOUT_MS)])
    return isFollowing
  }

  /** True if this node follows the store itself, so that others get new versions from it. */
  get isReader (): boolean {
    return this.deriveRoles().readers.includes(this.context.state.identity.host)
  }

  /** Tells other nodes of the zone of the version in force, if this node is a reader. */
  announceVersion (previous: number, isFromStore: boolean): void {
    this.announcer.announce(previous, isFromStore)
  }

  private async sendChange (host: string, configurationChange: ConfigurationChange): Promise<void> {
    const peer = this.context.state.members.get(host)
    if (peer !== undefined) await this.exchange(peer, { ...EMPTY_PAYLOAD, configurationChange })
  }

  /** The hosts that respond to this node, itself included. */
  listReachableHosts (): string[] {
    const { members, identity } = this.context.state
    const others = [...members.list()].filter(({ host, state }) => state === 'serving' && host !== identity.host && !this.unreachableSince.has(host))
    return [identity.host, ...others.map(({ host }) => host)]
  }

  private deriveRoles (): ZoneRoles {
    const { members, identity } = this.context.state
    const others = [...members.list()].filter(({ host, zone }) => zone === identity.zone && host !== identity.host)
    return deriveZoneRoles([identity, ...others.filter(({ host }) => !this.unreachableSince.has(host))])
  }

  /** A node that follows the store gets new versions from there, unless it stays behind. */
  private get wantsConfiguration (): boolean {
    const { hasSource, isReady, version } = this.context.state
    return !hasSource || !this.isReader || !isReady || this.lag.isBehind(version)
  }

  private receiveConfiguration (peer: HostRecord, { configuration, configurationChange }: ExchangeResponse): void {
    const { onConfiguration } = this.context
    if (configuration !== undefined) onConfiguration(configuration, peer.host)
    if (!this.applyChange(peer, configurationChange)) void this.exchange(peer, { ...EMPTY_PAYLOAD, version: 0 })
  }

  /** Returns false if this node does not have the version from which the change was derived. */
  private applyChange (peer: HostRecord, change: ConfigurationChange | undefined): boolean {
    if (change === undefined) return true
    const base = this.context.state.history.find(change.base)
    const changed = base === undefined ? undefined : applyChange(base, change)
    if (changed !== undefined) this.context.onConfiguration(changed, peer.host)
    return changed !== undefined
  }

  /** Notes the version of a peer. If it is newer, this node asks the peer for it as soon as it wants it. */
  private checkVersion (peer: HostRecord, version: number): void {
    const { state, log } = this.context
    state.recordSeenVersion(version)
    this.lag.observe(version, state.version)
    if (version <= state.version || this.isAwaitingVersion) return
    log.log('detail', 'peer_ahead', { peer: peer.host, theirs: version, own: state.version })
    void this.awaitVersion(peer)
  }

  private async awaitVersion (peer: HostRecord): Promise<void> {
    const { clock } = this.context
    this.isAwaitingVersion = true
    try {
      if (!this.wantsConfiguration) await clock.sleep(this.lag.allowedMs)
      if (this.wantsConfiguration) await this.exchange(peer, EMPTY_PAYLOAD)
    } finally {
      this.isAwaitingVersion = false
    }
  }

  /** Sends the records that the peer lacks, as its response shows. */
  private async sendMissing (peer: HostRecord, { records, differing, buckets }: ExchangeResponse): Promise<void> {
    const { state } = this.context
    const missing = listNewer(state, listZoneHosts(state, differing), records)
    if (missing.length > 0) await this.exchange(peer, { ...EMPTY_PAYLOAD, records: missing })
    const complete = findDifferingBuckets(state, buckets)
    if (Object.keys(complete).length > 0) await this.exchange(peer, { ...EMPTY_PAYLOAD, complete, records: listBucketRecords(state, complete) })
  }

  private removeHost (record: HostRecord, onRemoved: (host: string) => void): void {
    const { state, clock, log } = this.context
    log.log('change', 'host_removed', { peer: record.host, silentMs: REMOVE_UNREACHABLE_AFTER_MS })
    this.unreachableSince.delete(record.host)
    const tombstone = makeTombstone(record)
    storeRecords(state, { records: [tombstone] }, clock)
    onRemoved(record.host)
    void this.notifyPeers({ records: [tombstone] }, 'some')
  }

  private pickPeer (): HostRecord | undefined {
    const { state, random } = this.context
    const { zone, region } = state.identity
    const all = state.listPeers()
    const draw = random.next()
    const anyShare = state.hasSource ? ANY_ZONE_SHARE : STORE_LOST_ANY_ZONE_SHARE
    const candidates = all.filter(peer => draw < anyShare || (draw < REGION_SHARE ? peer.region === region : peer.zone === zone))
    const list = candidates.length > 0 ? candidates : all
    return list[random.pickIndex(list.length)]
  }
}
