/**
 * One call as a possible cause of crashes: refused when it is blocked, and marked when an attempt's target crashed.
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

  /** Tells the last node what this one knows, since a retry is faster than a message between nodes. */
  makeHeaders (): Headers {
    if (this.fingerprint === undefined) return { [HEADERS.fingerprint]: '', [HEADERS.suspect]: '' }
    return { [HEADERS.fingerprint]: this.fingerprint, [HEADERS.suspect]: this.suspects.listTargets(this.fingerprint).join(SEPARATOR) }
  }

  recordCompleteResponse (): void {
    if (this.fingerprint !== undefined) clearCrashMarks(this.suspects, [this.fingerprint])
  }

  /** `target` is the id of the target that the attempt went to. */
  recordFailure (target: string, { code }: Failure): void {
    if (this.fingerprint === undefined || code !== TARGET_CRASHED) return
    addCrashMarks(this.suspects, [{ fingerprint: this.fingerprint, target, ageMs: 0 }])
  }
}

/** Takes the fingerprint from headers of the first node, with the marks that it knows. */
export function receiveFingerprint (table: SuspectTable, headers: Headers): string | undefined {
  const fingerprint = String(headers[HEADERS.fingerprint] ?? '')
  if (fingerprint === '') return undefined
  const targets = String(headers[HEADERS.suspect] ?? '').split(SEPARATOR).filter(target => target !== '')
  addCrashMarks(table, targets.map(target => ({ fingerprint, target, ageMs: 0 })))
  return fingerprint
}
