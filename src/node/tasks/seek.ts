/**
 * The search for a better upstream while the present one is makeshift: a root without a source, a
 * head that watches the platform for want of an origin head, or a place under another region's head.
 * Each search gives peers to try; where the node only has to choose again, it ends the position.
 */
import { readLease } from '../../duty/index.js'
import type { HeldLease, Lease } from '../../duty/index.js'
import type { Replica } from '../../peer/index.js'
import type { ObjectStore } from '../../store/index.js'
import type { Duties } from '../duties.js'
import type { PeerFailures } from '../failures.js'
import { findDuty, hasHead, listAnyone } from '../queries/candidates.js'
import type { Known } from '../queries/candidates.js'

export interface SeekContext {
  replica: Replica
  store: ObjectStore
  duties: Duties
  failures: PeerFailures
  /** The duty of the head in the platform's region. */
  originDuty: string
  getKnown: () => Known
  claim: (duty: string, held: HeldLease) => Promise<boolean>
  /** Aborting it leaves the present upstream, so that the node chooses again. */
  getPosition: () => AbortController
}

export class Seeker {
  constructor (private readonly context: SeekContext) {}

  /** Below a peer: while its root has no source, whoever has one; otherwise the head of the own region. */
  async listForFollower (): Promise<string[]> {
    const { replica } = this.context
    if (replica.duties.size === 0) return []
    return replica.place.sourceUp ? await this.listHome() : await this.listSources()
  }

  /** A head that watches the platform: the origin head. */
  async listForWatcher (): Promise<string[]> {
    const { replica, store, originDuty } = this.context
    if (replica.duties.has(originDuty)) return []
    const held = await readLease(store, originDuty)
    return held.ok && held.val.lease?.released === false ? this.listOther(held.val.lease) : []
  }

  /** A root without any source: peers that may have one. The platform's answer ends this position. */
  async listForDetached (): Promise<string[]> {
    const { replica, originDuty, getKnown } = this.context
    void this.checkPlatform()
    return replica.duties.has(originDuty) ? [...getKnown().below] : listAnyone(replica, getKnown())
  }

  /** The root's successor; or, when this node reaches the platform and the root does not, this node takes its place. */
  private async listSources (): Promise<string[]> {
    const { replica, store, duties, originDuty } = this.context
    const position = this.context.getPosition()
    const held = await readLease(store, originDuty)
    if (held.err || replica.place.sourceUp) return []
    const lease = held.val.lease
    if (lease !== undefined && !lease.released && lease.peer !== replica.place.pathPeers[0]) return this.listOther(lease)
    const isNext = findDuty(replica) === originDuty
    if (isNext ? await duties.claim(originDuty, held.val) : hasHead(replica)) position.abort()
    return []
  }

  /** A relay that follows another region's head returns to the head of its own region, or becomes it. */
  private async listHome (): Promise<string[]> {
    const { replica, store, duties, failures, claim } = this.context
    const position = this.context.getPosition()
    const duty = findDuty(replica)
    const parent = replica.place.pathPeers.at(-2)
    const region = replica.listRecords().find(record => record.peer === parent)?.region
    if (duty === undefined || region === undefined || region === replica.identity.region) return []
    const held = await readLease(store, duty)
    if (held.err || duties.hasLost(duty)) return []
    if (await claim(duty, held.val)) position.abort()
    return held.val.lease === undefined || failures.has(held.val.lease.peer) ? [] : this.listOther(held.val.lease)
  }

  private async checkPlatform (): Promise<void> {
    const { store, originDuty } = this.context
    const position = this.context.getPosition()
    const held = await readLease(store, originDuty)
    if (held.ok) position.abort()
  }

  private listOther (lease: Lease): string[] {
    return lease.peer === this.context.replica.identity.peer ? [] : [lease.peer]
  }
}
