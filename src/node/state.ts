/**
 * The state of a node: versions, host records, crash marks, and the local host. Tasks share it, and the
 * functions in commands/ change it.
 */
import { AccountTable } from '../account/index.js'
import { ConfigurationHistory } from '../configuration/index.js'
import type { Configuration, RefusedVersion } from '../configuration/index.js'
import { Emitter } from '../core/index.js'
import type { Clock } from '../core/index.js'
import { LocalHost, MemberTable } from '../membership/index.js'
import type { HostIdentity, HostRecord } from '../membership/index.js'
import { SnapshotTable } from '../snapshot/index.js'
import { SuspectTable } from '../suspect/index.js'
import { HybridLogicalClock } from '../timeline/index.js'

/** Records that a node stored. `from` is the peer that sent them, absent for records from the store and local ones. */
export interface RecordUpdate { records: readonly HostRecord[], from?: string }

/** Peers report their version about once a second. One that is not repeated for this time may have gone with the only peer that had it. */
const REPORT_EXPIRY_MS = 10_000

export class NodeState {
  readonly snapshotTable = new SnapshotTable()
  readonly members = new MemberTable()
  readonly localHost: LocalHost
  readonly suspects: SuspectTable
  /** Advanced by messages from peers, so that an event after a message is later than the events before the message. */
  readonly time: HybridLogicalClock
  readonly recordUpdates = new Emitter<RecordUpdate>()
  /** Records of the local host from the store or a peer: of an earlier process, or superseded or removed by another node. */
  readonly ownRecords = new Emitter<HostRecord>()
  /** Emits once, when this node knows what the earlier processes of its host have left to it. */
  readonly recovery = new Emitter<'recovered'>()
  /** Emits once, when callers may be served for the first time. */
  readonly readiness = new Emitter<'ready'>()
  configuration: Configuration | undefined
  accounts = new AccountTable(false)
  readonly history = new ConfigurationHistory()
  /** True once the hosts have been read from the store or from a peer. */
  knowsHosts = false
  /** True while the source of the configuration responds to this node. */
  hasSource = true
  /** True while this node follows the source itself, so that its version is the newest one. */
  followsSource = false
  private hasRecovered = false
  private hasComparedVersion = false
  /** The newest version that a peer has reported, and when. */
  private seen = { version: 0, at: -Infinity }

  constructor (readonly identity: HostIdentity, private readonly clock: Clock) {
    this.localHost = new LocalHost(identity)
    this.suspects = new SuspectTable(clock)
    this.time = new HybridLogicalClock(clock)
  }

  get version (): number {
    return this.configuration?.version ?? 0
  }

  /** The newest version that a peer has reported lately, 0 if none has. */
  get newestSeenVersion (): number {
    return this.clock.monotonic() - this.seen.at < REPORT_EXPIRY_MS ? this.seen.version : 0
  }

  /** True if a peer has a version that this node does not have yet. */
  get isOutdated (): boolean {
    return this.newestSeenVersion > this.version
  }

  recordSeenVersion (version: number): void {
    if (version >= this.newestSeenVersion) this.seen = { version, at: this.clock.monotonic() }
  }

  get refused (): readonly RefusedVersion[] {
    return this.configuration?.refused ?? []
  }

  /** True if callers may be served: this node knows the hosts, and a version that it has compared with those of some peers. */
  get isReady (): boolean {
    return this.hasComparedVersion
  }

  /** True once the store or some peers, as far as they respond, have been asked for the earlier records of this host. */
  get isRecovered (): boolean {
    return this.hasRecovered
  }

  listPeers (): HostRecord[] {
    return [...this.members.list()].filter(({ host }) => host !== this.identity.host)
  }

  markRecovered (): void {
    if (this.hasRecovered) return
    this.hasRecovered = true
    this.recovery.emit('recovered')
  }

  /**
   * Called once the hosts and a version are known and the version has been compared with those of some peers. A store that was restored
   * from an older copy may return an older version to a starting node than its peers have in force.
   */
  markCompared (): void {
    if (this.hasComparedVersion) return
    this.hasComparedVersion = true
    this.readiness.emit('ready')
  }
}
