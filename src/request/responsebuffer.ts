/**
 * Reads a short answer to its end before any of it is passed on, so that one that is cut can still
 * be replaced by another target's.
 */
import { Readable } from 'node:stream'
import { describeError, Err, makeFailure, Ok } from '../core/index.js'
import type { Failure, Result } from '../core/index.js'
import type { TargetResponse } from './httpclient.js'

/** An answer above the limit is passed on as it comes. */
export async function bufferResponse (answer: TargetResponse, limitBytes: number): Promise<Result<TargetResponse, Failure>> {
  if (limitBytes <= 0 || Number(answer.headers['content-length'] ?? 0) > limitBytes) return Ok(answer)
  const chunks: Buffer[] = []
  let bytes = 0
  const reader = answer.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  try {
    while (bytes <= limitBytes) {
      const next = await reader.next()
      if (next.done === true) return Ok({ ...answer, bufferedBody: Buffer.concat(chunks) })
      chunks.push(next.value)
      bytes += next.value.length
    }
  } catch (error) {
    return Err({ ...makeFailure('may-have-run', 502, 'answer_cut', `the answer ended early: ${describeError(error)}`), reached: true })
  }
  const body = Readable.from(emitChunks(chunks, reader), { objectMode: false })
  body.once('close', () => { answer.body.destroy() })
  return Ok({ ...answer, body })
}

async function * emitChunks (chunks: readonly Buffer[], reader: AsyncIterator<Buffer>): AsyncGenerator<Buffer> {
  yield * chunks
  while (true) {
    const next = await reader.next()
    if (next.done === true) return
    yield next.value
  }
}
