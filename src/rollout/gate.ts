/**
 * Tells the node beside a target whether the target may get requests of its version.
 */
import type { Announcement } from '../membership/index.js'

type VersionedTarget = Pick<Announcement, 'service' | 'version'>

export abstract class VersionGate {
  /** True if the target gets no new requests because of its version. */
  abstract isClosed (target: VersionedTarget): boolean
  /** True if the target may get a request that another node has sent to an earlier process on its host. */
  abstract isSuccessor (target: VersionedTarget): boolean
}

export class OpenGate extends VersionGate {
  override isClosed (): boolean {
    return false
  }

  override isSuccessor (): boolean {
    return true
  }
}
