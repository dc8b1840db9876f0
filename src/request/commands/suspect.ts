/**
 * Tracks one call as a possible cause of crashes. A blocked call is rejected; a call whose target crashes during an attempt gets a crash mark.
 */
import type { Failure } from '../../core/index.js'
import { addCrashMarks, clearCompleted, computeFingerprint, findHost } from '../../suspect/index.js'
import type { SuspectTable } from '../../suspect/index.js'
import type { Headers } from '../headers.js'
import { HEADERS } from '../schema.js'
import type { Call } from '../schema.js'
import { rejectBlocked, TARGET_CRASHED } from './crash.js'

const SEPARATOR = ','
/** Source of marks from request headers, which do not name the caller-side node. */
const CALLER_SIDE_NODE = 'caller-side node'

export class SuspectCall {
  private readonly fingerprint: string | undefined
  /** Hosts to which the call was sent with crash marks. */
  private readonly informedHosts = new Set<string>()

  constructor (private readonly suspects: SuspectTable, call: Call, body: Uint8Array | undefined) {
    this.fingerprint = computeFingerprint({ ...call, key: call.key, body })
  }

  reject (): Failure | undefined {
    return rejectBlocked(this.suspects, this.fingerprint)
  }

  /** Sends the crash marks that this node knows to the target-side node, since a retry can arrive before a message between nodes. */
  makeHeaders (host: string): Headers {
    if (this.fingerprint === undefined) return { [HEADERS.fingerprint]: '', [HEADERS.suspect]: '' }
    const targets = this.suspects.listTargets(this.fingerprint)
    if (targets.length > 0) this.informedHosts.add(host)
    return { [HEADERS.fingerprint]: this.fingerprint, [HEADERS.suspect]: targets.join(SEPARATOR) }
  }

  recordCompleteResponse (): void {
    if (this.fingerprint !== undefined) clearCompleted(this.suspects, this.fingerprint, this.informedHosts)
  }

  /**
   * `id` is that of the target of the attempt. The node of its host reported the crash and announces the mark. Two names of one crashed
   * target would count as two crashes, so the mark has the name that this node reported.
   */
  recordFailure (id: string, { code, target }: Failure): void {
    if (this.fingerprint === undefined || code !== TARGET_CRASHED) return
    const host = findHost(id)
    addCrashMarks(this.suspects, [{ fingerprint: this.fingerprint, target: target === undefined ? id : `${host}/${target}`, ageMs: 0 }], host)
  }
}

/** Reads the fingerprint from the headers of the caller-side node, and stores the crash marks that they list. */
export function receiveFingerprint (suspects: SuspectTable, headers: Headers): string | undefined {
  const fingerprint = String(headers[HEADERS.fingerprint] ?? '')
  if (fingerprint === '') return undefined
  const targets = String(headers[HEADERS.suspect] ?? '').split(SEPARATOR).filter(target => target !== '')
  addCrashMarks(suspects, targets.map(target => ({ fingerprint, target, ageMs: 0 })), CALLER_SIDE_NODE)
  return fingerprint
}
