/**
 * Tracks one call as a possible cause of crashes. A blocked call is rejected; a call whose target crashes during an attempt gets a crash mark.
 */
import type { Failure } from '../../core/index.js'
import { clearCrashMarks, computeFingerprint, addCrashMarks } from '../../suspect/index.js'
import type { SuspectTable } from '../../suspect/index.js'
import type { Headers } from '../headers.js'
import { HEADERS } from '../schema.js'
import type { Call } from '../schema.js'
import { rejectBlocked, TARGET_CRASHED } from './crash.js'

const SEPARATOR = ','

export class SuspectCall {
  private readonly fingerprint: string | undefined

  constructor (private readonly suspects: SuspectTable, call: Call, body: Uint8Array | undefined) {
    this.fingerprint = computeFingerprint({ ...call, key: call.key, body })
  }

  reject (): Failure | undefined {
    return rejectBlocked(this.suspects, this.fingerprint)
  }

  /** Sends the crash marks that this node knows to the target-side node, since a retry can arrive before a message between nodes. */
  makeHeaders (): Headers {
    if (this.fingerprint === undefined) return { [HEADERS.fingerprint]: '', [HEADERS.suspect]: '' }
    return { [HEADERS.fingerprint]: this.fingerprint, [HEADERS.suspect]: this.suspects.listTargets(this.fingerprint).join(SEPARATOR) }
  }

  recordCompleteResponse (): void {
    if (this.fingerprint !== undefined) clearCrashMarks(this.suspects, [this.fingerprint])
  }

  /** `target` is the id of the target of the attempt. */
  recordFailure (target: string, { code }: Failure): void {
    if (this.fingerprint === undefined || code !== TARGET_CRASHED) return
    addCrashMarks(this.suspects, [{ fingerprint: this.fingerprint, target, ageMs: 0 }])
  }
}

/** Reads the fingerprint from the headers of the caller-side node, and stores the crash marks that they list. */
export function receiveFingerprint (suspects: SuspectTable, headers: Headers): string | undefined {
  const fingerprint = String(headers[HEADERS.fingerprint] ?? '')
  if (fingerprint === '') return undefined
  const targets = String(headers[HEADERS.suspect] ?? '').split(SEPARATOR).filter(target => target !== '')
  addCrashMarks(suspects, targets.map(target => ({ fingerprint, target, ageMs: 0 })))
  return fingerprint
}
