/**
 * Bodies that are read whole before the first attempt, so that their hash is known. The memory for
 * all of them is bounded.
 */
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import type { RequestBody } from '../body.js'

const MAX_TOTAL_BYTES = 64 * 1024 * 1024
const RETRY_AFTER_MS = 200

export interface KeptBody { bytes: Buffer, release: () => void }

export class KeptBodies {
  private held = 0

  constructor (private readonly total = MAX_TOTAL_BYTES) {}

  /** `size` is reserved while the body is kept. Each failure is `not-run`, since nothing has been sent on. */
  async keepBody (body: RequestBody, size: number, signal: AbortSignal): Promise<Result<KeptBody, Failure>> {
    if (this.held + size > this.total) return refuseBody(503, 'bodies_full', 'this node keeps too many bodies of other requests')
    this.held += size
    body.keepAll()
    const isWhole = await body.collect(signal)
    const bytes = isWhole ? body.kept ?? Buffer.alloc(0) : undefined
    if (bytes !== undefined) return Ok({ bytes, release: () => { this.held -= size } })
    this.held -= size
    if (body.isAboveLimit) return refuseBody(413, 'body_too_large', 'the body is longer than its route allows')
    if (signal.aborted) return refuseBody(504, 'deadline', 'the deadline passed while the body was read')
    return refuseBody(400, 'body_cut', 'the body ended early')
  }
}

function refuseBody (status: number, code: string, message: string): Result<KeptBody, Failure> {
  return Err(makeFailure('not-run', status, code, message, RETRY_AFTER_MS))
}
