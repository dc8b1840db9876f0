/**
 * What one node holds: versions, host records, marks on requests, and its own host. Tasks share it;
 * the functions in commands/ change it.
 */
import type { Configuration, RefusedVersion } from '../configuration/index.js'
import { Emitter } from '../core/index.js'
import type { Clock } from '../core/index.js'
import { MemberTable, LocalHost } from '../membership/index.js'
import type { HostIdentity, HostRecord } from '../membership/index.js'
import { SnapshotTable } from '../snapshot/index.js'
import { SuspectTable } from '../suspect/index.js'
import { HybridLogicalClock } from '../timeline/index.js'

/** Records that a node took, and the peer that sent them; absent for the store and for own ones. */
export interface RecordUpdate { records: readonly HostRecord[], from?: string }

export class NodeState {
  readonly snapshotTable = new SnapshotTable()
  readonly members = new MemberTable()
  readonly localHost: LocalHost
  readonly suspects: SuspectTable
  /** Advanced by what peers send, so that an event after a message is later than those before it. */
  readonly time: HybridLogicalClock
  readonly recordUpdates = new Emitter<RecordUpdate>()
  /** Records of the own host that others hold and that outrank the own one. */
  readonly supersedingRecords = new Emitter<HostRecord>()
  configuration: Configuration | undefined
  /** The hosts were read from the store or from a peer at least once. */
  knowsHosts = false
  /** Whether the source of the configuration answers this node. */
  hasSource = true

  constructor (readonly identity: HostIdentity, clock: Clock) {
    this.localHost = new LocalHost(identity)
    this.suspects = new SuspectTable(clock)
    this.time = new HybridLogicalClock(clock)
  }

  get version (): number {
    return this.configuration?.version ?? 0
  }

  get refused (): readonly RefusedVersion[] {
    return this.configuration?.refused ?? []
  }

  /** Whether callers may be served: by a version that is the newest as far as the store or a peer said. */
  get isReady (): boolean {
    return this.configuration !== undefined && this.knowsHosts
  }

  listPeers (): HostRecord[] {
    return [...this.members.list()].filter(({ host }) => host !== this.identity.host)
  }
}
