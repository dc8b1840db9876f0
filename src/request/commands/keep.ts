/**
 * Bodies that are read whole before the first attempt, so that their hash is known and a later attempt
 * has the same bytes. The memory for all of them is bounded.
 */
import type { Readable } from 'node:stream'
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import type { Call } from '../schema.js'

const MAX_TOTAL_BYTES = 64 * 1024 * 1024
const RETRY_AFTER_MS = 200

export interface KeptBody { body: Buffer, release: () => void }

export class KeptBodies {
  private held = 0

  constructor (private readonly total = MAX_TOTAL_BYTES) {}

  /** Each failure is `not-run`, since nothing has been sent on. */
  async keepBody (source: Readable, limit: number, signal: AbortSignal): Promise<Result<KeptBody, Failure>> {
    const chunks: Buffer[] = []
    let size = 0
    const release = (): void => {
      this.held -= size
      size = 0
    }
    const refuse = (status: number, code: string, message: string): Result<KeptBody, Failure> => {
      release()
      return Err(makeFailure('not-run', status, code, message, RETRY_AFTER_MS))
    }
    try {
      for await (const chunk of source.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        size += chunk.length
        this.held += chunk.length
        if (size > limit) return refuse(413, 'body_too_large', `body above ${limit} bytes`)
        if (this.held > this.total) return refuse(503, 'bodies_full', 'this node keeps too many bodies of other requests')
        if (signal.aborted) return refuse(504, 'deadline', 'the deadline passed while the body was read')
        chunks.push(chunk)
      }
    } catch {
      return refuse(400, 'body_cut', 'the body ended early')
    }
    return Ok({ body: Buffer.concat(chunks), release })
  }
}

const SMALL_BODY_BYTES = 64 * 1024

/** A body that is too large to keep, or of unknown length, is left to be streamed: the result has none. */
export async function keepSmallBody (
  bodies: KeptBodies, call: Call, source: Readable, signal: AbortSignal
): Promise<Result<KeptBody | undefined, Failure>> {
  if (call.bodyBytes === undefined || call.bodyBytes === 0 || call.bodyBytes > SMALL_BODY_BYTES) return Ok(undefined)
  return await bodies.keepBody(source, SMALL_BODY_BYTES, signal)
}
