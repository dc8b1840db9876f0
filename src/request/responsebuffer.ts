/**
 * Reads a short response to its end before any of it is forwarded, so that a truncated response can still be replaced
 * by the response of another target.
 */
import { Readable } from 'node:stream'
import { describeError, Err, makeFailure, Ok } from '../core/index.js'
import type { Failure, Result } from '../core/index.js'
import type { TargetResponse } from './exchange.js'

/** A response above the limit is streamed. */
export async function bufferResponse (response: TargetResponse, limitBytes: number): Promise<Result<TargetResponse, Failure>> {
  if (limitBytes <= 0 || Number(response.headers['content-length'] ?? 0) > limitBytes) return Ok(response)
  const chunks: Buffer[] = []
  let bytes = 0
  const reader = response.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  try {
    while (bytes <= limitBytes) {
      const next = await reader.next()
      if (next.done === true) return Ok({ ...response, bufferedBody: Buffer.concat(chunks) })
      chunks.push(next.value)
      bytes += next.value.length
    }
  } catch (error) {
    return Err({ ...makeFailure('may-have-run', 502, 'answer_cut', `the response ended early: ${describeError(error)}`), reached: true })
  }
  const body = Readable.from(emitChunks(chunks, reader), { objectMode: false })
  body.once('close', () => { response.body.destroy() })
  return Ok({ ...response, body })
}

async function * emitChunks (chunks: readonly Buffer[], reader: AsyncIterator<Buffer>): AsyncGenerator<Buffer> {
  yield * chunks
  while (true) {
    const next = await reader.next()
    if (next.done === true) return
    yield next.value
  }
}
