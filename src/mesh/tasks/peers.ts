/**
 * The tasks that keep this node and its peers alike: what changes here is told to the peers at once,
 * and at intervals one peer is compared with, so that what a lost message or a cut left behind is mended.
 */
import type { Configuration } from '../../configuration/index.js'
import { Channel, drainStream } from '../../core/index.js'
import type { Clock, DecisionLog, Random } from '../../core/index.js'
import type { HostRecord } from '../../membership/index.js'
import { clearSuspects, markSuspects } from '../../suspect/index.js'
import type { SuspectChange } from '../../suspect/index.js'
import { takeRecords } from '../commands/take.js'
import type { PeerLinks } from '../link.js'
import type { ExchangeAnswer, ExchangeRequest } from '../messages.js'
import { listZoneRecords, makeAnswer, makeDigests } from '../queries/difference.js'
import type { MeshState } from '../state.js'

export interface PeersContext {
  state: MeshState
  links: PeerLinks
  clock: Clock
  random: Random
  log: DecisionLog
  onConfiguration: (configuration: Configuration, from: string) => void
}

const COMPARE_MS = 1_000
/** While the store does not answer this node, peers are all that brings it a new version. */
const COMPARE_LOST_MS = 300
/** A change is told to so many peers by the node where it happened; in larger fleets comparing carries it on. */
const TOLD_PEERS = 32
/** Comparing with another zone or region costs billed bytes, so most comparisons are near. */
const ANY_ZONE_SHARE = 0.05
const REGION_SHARE = 0.2
const LOST_ANY_ZONE_SHARE = 0.5

type Told = Pick<ExchangeRequest, 'records' | 'marks' | 'cleared'>

const NOTHING: Told = { records: [], marks: [], cleared: [] }

export class Peers {
  /** Whether the source of the configuration answers this node. */
  hasSource = true

  constructor (private readonly context: PeersContext) {}

  /** What this node answers to a peer's call. */
  answer (request: ExchangeRequest): ExchangeAnswer {
    const { state, clock, log } = this.context
    const answer = makeAnswer(state, request)
    const taken = takeRecords(state, request.records, clock)
    this.noteTaken(taken, request.host)
    markSuspects(state.suspects, request.marks, request.host)
    clearSuspects(state.suspects, request.cleared, request.host)
    if (request.version > state.version) {
      const peer = state.members.get(request.host)
      log.note('detail', 'peer_ahead', { peer: request.host, theirs: request.version, own: state.version })
      if (peer !== undefined) void this.exchange(peer, NOTHING)
    }
    return answer
  }

  /** Compares with one peer at a time until the signal. */
  async compareInTurn (signal: AbortSignal): Promise<void> {
    const { clock, random } = this.context
    while (!signal.aborted) {
      await clock.sleep((this.hasSource ? COMPARE_MS : COMPARE_LOST_MS) * (0.5 + random.next()), signal)
      const peer = this.pickPeer()
      if (peer !== undefined && !signal.aborted) await this.exchange(peer, NOTHING)
    }
  }

  /** Tells the peers of marks that were set or cleared here. */
  async sendMarks (signal: AbortSignal): Promise<void> {
    const changes = new Channel<SuspectChange>()
    drainStream(this.context.state.suspects.changes.stream, changes, signal)
    signal.addEventListener('abort', () => { changes.close() }, { once: true })
    for await (const { marks, cleared, source } of changes) {
      if (source === undefined) await this.send({ ...NOTHING, marks: [...marks], cleared: [...cleared] })
    }
  }

  /** Resolves when each peer has answered or failed to. */
  async send (told: Partial<Told>): Promise<void> {
    const { state, random } = this.context
    const peers = state.listPeers().map(peer => ({ peer, rank: random.next() })).sort((left, right) => left.rank - right.rank)
    await Promise.all(peers.slice(0, TOLD_PEERS).map(async ({ peer }) => { await this.exchange(peer, { ...NOTHING, ...told }) }))
  }

  async exchange (peer: HostRecord, told: Told): Promise<void> {
    const { state, links, clock } = this.context
    const answered = await links.exchange(peer.peer, { host: state.identity.host, version: state.version, zones: makeDigests(state), ...told })
    if (answered.err) return
    const { configuration, records, differing } = answered.val
    if (configuration !== undefined) this.context.onConfiguration(configuration, peer.host)
    this.noteTaken(takeRecords(state, records, clock), peer.host)
    state.knowsHosts = true
    const missing = listMissing(listZoneRecords(state, differing), [...records, ...told.records])
    if (missing.length > 0 && told.records.length === 0) await this.exchange(peer, { ...NOTHING, records: missing })
  }

  private noteTaken (taken: readonly HostRecord[], from: string): void {
    for (const { host, state, targets, incarnation, sequence } of taken) {
      const described = targets.map(target => `${target.target} ${target.service} ${target.state}`).join(', ')
      this.context.log.note('change', 'host_changed', { peer: host, state, targets: described, incarnation, sequence, from })
    }
  }

  private pickPeer (): HostRecord | undefined {
    const { state, random } = this.context
    const { zone, region } = state.identity
    const all = state.listPeers()
    const draw = random.next()
    const anyShare = this.hasSource ? ANY_ZONE_SHARE : LOST_ANY_ZONE_SHARE
    const near = all.filter(peer => draw < anyShare || (draw < REGION_SHARE ? peer.region === region : peer.zone === zone))
    const list = near.length > 0 ? near : all
    return list[random.pickIndex(list.length)]
  }
}

/** Records that this node holds and the peer did not send the same of. */
function listMissing (held: readonly HostRecord[], theirs: readonly HostRecord[]): HostRecord[] {
  const known = new Set(theirs.map(record => JSON.stringify([record.host, record.incarnation, record.sequence, record.lost])))
  return held.filter(record => !known.has(JSON.stringify([record.host, record.incarnation, record.sequence, record.lost])))
}
