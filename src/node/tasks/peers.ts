/**
 * The tasks that keep this node and its peers alike: what changes here is told to the peers at once,
 * and at intervals one peer is compared with, so that what a lost message or a cut left behind is mended.
 */
import type { Configuration } from '../../configuration/index.js'
import { Channel, forwardStream } from '../../core/index.js'
import type { Clock, StructuredLog, Random } from '../../core/index.js'
import { evictTombstones, makeTombstone, REMOVE_UNREACHABLE_AFTER_MS } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { ExchangeResponse, ExchangeRequest, PeerTransport } from '../../peer/index.js'
import { clearCrashMarks, addCrashMarks } from '../../suspect/index.js'
import type { SuspectChange } from '../../suspect/index.js'
import { storeRecords } from '../commands/records.js'
import { findDifferingBuckets, listBucketRecords, listNewer, listZoneHosts, makeExchangeResponse, collectZoneDigests } from '../queries/difference.js'
import type { NodeState } from '../state.js'

export interface PeerSynchronizerContext {
  state: NodeState
  transport: PeerTransport
  clock: Clock
  random: Random
  log: StructuredLog
  onConfiguration: (configuration: Configuration, from: string) => void
}

const EXCHANGE_INTERVAL_MS = 1_000
/** While the store does not answer this node, peers are all that brings it a new version. */
const STORE_LOST_EXCHANGE_INTERVAL_MS = 300
/** A change is told to so many peers by the node where it happened; in larger fleets comparing carries it on. */
const MAX_NOTIFIED_PEERS = 32
/** Comparing with another zone or region costs billed bytes, so most comparisons are near. */
const ANY_ZONE_SHARE = 0.05
const REGION_SHARE = 0.2
const STORE_LOST_ANY_ZONE_SHARE = 0.5
const REMOVAL_CHECK_INTERVAL_MS = 10_000

type ExchangePayload = Pick<ExchangeRequest, 'records' | 'marks' | 'cleared' | 'complete'>

const EMPTY_PAYLOAD: ExchangePayload = { records: [], marks: [], cleared: [] }

export class PeerSynchronizer {
  /** Since when a host has not answered this node, on the monotonic clock. */
  private readonly unreachableSince = new Map<string, number>()

  constructor (private readonly context: PeerSynchronizerContext) {}

  /** What this node answers to a peer's call. */
  respond (request: ExchangeRequest): ExchangeResponse {
    const { state, clock, log } = this.context
    state.time.advance(request.stamp)
    this.unreachableSince.delete(request.host)
    const answer = makeExchangeResponse(state, request)
    storeRecords(state, { records: request.records, from: request.host }, clock)
    addCrashMarks(state.suspects, request.marks, request.host)
    clearCrashMarks(state.suspects, request.cleared, request.host)
    if (request.version > state.version) {
      const peer = state.members.get(request.host)
      log.log('detail', 'peer_ahead', { peer: request.host, theirs: request.version, own: state.version })
      if (peer !== undefined) void this.exchange(peer, EMPTY_PAYLOAD)
    }
    return answer
  }

  /** Compares with one peer at a time until the signal. */
  async exchangePeriodically (signal: AbortSignal): Promise<void> {
    const { clock, random, state } = this.context
    while (!signal.aborted) {
      await clock.sleep((state.hasSource ? EXCHANGE_INTERVAL_MS : STORE_LOST_EXCHANGE_INTERVAL_MS) * (0.5 + random.next()), signal)
      const peer = this.pickPeer()
      if (peer !== undefined && !signal.aborted) await this.exchange(peer, EMPTY_PAYLOAD)
    }
  }

  /** Tells the peers of marks that were set or cleared here. */
  async sendCrashMarks (signal: AbortSignal): Promise<void> {
    const changes = new Channel<SuspectChange>()
    forwardStream(this.context.state.suspects.changes.stream, changes, signal)
    signal.addEventListener('abort', () => { changes.close() }, { once: true })
    for await (const { marks, cleared, source } of changes) {
      if (source === undefined) await this.notifyPeers({ marks: [...marks], cleared: [...cleared] })
    }
  }

  /** Removes hosts that have not answered for long. `onRemoved` is told of each one. */
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

  /** Resolves when each peer has answered or failed to. */
  async notifyPeers (told: Partial<ExchangePayload>): Promise<void> {
    const { state, random } = this.context
    const peers = state.listPeers().map(peer => ({ peer, rank: random.next() })).sort((left, right) => left.rank - right.rank)
    await Promise.all(peers.slice(0, MAX_NOTIFIED_PEERS).map(async ({ peer }) => { await this.exchange(peer, { ...EMPTY_PAYLOAD, ...told }) }))
  }

  async exchange (peer: HostRecord, told: ExchangePayload): Promise<void> {
    const { state, transport: calls, clock } = this.context
    const request = { host: state.identity.host, version: state.version, zones: collectZoneDigests(state), stamp: state.time.advance(), ...told }
    const answered = await calls.exchange(peer.peer, request)
    if (answered.err) {
      if (!this.unreachableSince.has(peer.host)) this.unreachableSince.set(peer.host, clock.monotonic())
      return
    }
    this.unreachableSince.delete(peer.host)
    const { configuration, records, stamp } = answered.val
    state.time.advance(stamp)
    if (configuration !== undefined) this.context.onConfiguration(configuration, peer.host)
    storeRecords(state, { records, from: peer.host }, clock)
    state.knowsHosts = true
    if (told.records.length === 0 && told.complete === undefined) await this.sendMissing(peer, answered.val)
  }

  /** Sends what the peer's answer showed it to lack. */
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
    const gone = makeTombstone(record)
    storeRecords(state, { records: [gone] }, clock)
    onRemoved(record.host)
    void this.notifyPeers({ records: [gone] })
  }

  private pickPeer (): HostRecord | undefined {
    const { state, random } = this.context
    const { zone, region } = state.identity
    const all = state.listPeers()
    const draw = random.next()
    const anyShare = state.hasSource ? ANY_ZONE_SHARE : STORE_LOST_ANY_ZONE_SHARE
    const near = all.filter(peer => draw < anyShare || (draw < REGION_SHARE ? peer.region === region : peer.zone === zone))
    const list = near.length > 0 ? near : all
    return list[random.pickIndex(list.length)]
  }
}
