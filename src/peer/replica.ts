/**
 * What a node holds of the shared state, and its place in the distribution tree. Tasks share
 * one replica; the functions in commands/ change it and emit what changed.
 */
import { Emitter, SystemClock } from '../core/index.js'
import type { Clock } from '../core/index.js'
import type { HostRecord } from '../membership/index.js'
import { MemberTable, OwnHost } from '../membership/index.js'
import type { HostIdentity } from '../membership/index.js'
import { HybridClock } from '../timeline/index.js'
import { SnapshotTable } from '../snapshot/index.js'
import type { Entry } from '../snapshot/index.js'
import { SuspectTable } from '../suspect/index.js'
import { AckTable } from './acks.js'
import type { Lagging } from './messages.js'

const KEPT_VERSIONS = 8

/** `source` is the peer that the change came from; it does not get it back. */
export interface Change { services: readonly string[], hosts: readonly string[], source?: string }

export interface Refusal { service: string, version: number, reason: string }

/**
 * Where the node stands in the tree. An empty path means that no head or relay is above it; an empty
 * `upstream` that it has lost its upstream and looks for another one.
 */
export interface Place {
  path: readonly string[]
  pathPeers: readonly string[]
  tick: number
  sourceUp: boolean
  candidates: readonly string[]
  upstream: string
}

const UNROOTED: Place = { path: [], pathPeers: [], tick: 0, sourceUp: false, candidates: [], upstream: '' }

export class Replica {
  readonly table = new SnapshotTable()
  readonly members = new MemberTable()
  readonly own: OwnHost
  readonly acks = new AckTable()
  readonly suspects: SuspectTable
  readonly changes = new Emitter<Change>()
  readonly moves = new Emitter<Place>()
  /** Records of the own host that others hold and that outrank the own one. */
  readonly challenges = new Emitter<HostRecord>()
  readonly duties = new Set<string>()
  readonly refusals = new Map<string, Refusal>()
  held: Lagging[] = []
  ready = false
  place: Place = UNROOTED
  private readonly recent = new Map<string, Entry[]>()

  /** Advanced by what peers send, so that an event after a message is later than those before it. */
  readonly time: HybridClock

  constructor (readonly identity: HostIdentity, clock: Clock = new SystemClock()) {
    this.time = new HybridClock(clock)
    this.suspects = new SuspectTable(clock)
    this.own = new OwnHost(identity)
  }

  /** Whether other nodes may follow this one: it has a whole state and a way to get newer versions. */
  get isRooted (): boolean {
    return this.ready && this.place.path.length > 0 && this.place.upstream !== ''
  }

  findVersion (service: string, version: number): Entry | undefined {
    return this.recent.get(service)?.find(entry => entry.version === version)
  }

  /** Commands only: keeps a version as base for differences. */
  keepVersion (entry: Entry): void {
    this.recent.set(entry.service, [entry, ...(this.recent.get(entry.service) ?? [])].slice(0, KEPT_VERSIONS))
  }

  moveTo (place: Place): void {
    this.place = place
    this.moves.emit(place)
  }

  listRecords (hosts?: Iterable<string>): HostRecord[] {
    if (hosts === undefined) return [...this.members.list()]
    return [...hosts].flatMap(host => this.members.findNewest(host) ?? [])
  }
}
