/**
 * The body of one request, read once from the sender and replayed to each attempt from its beginning.
 * Up to DEFAULT_BUFFER_BYTES are buffered for the replay; bytes beyond that go to one attempt only. Nothing is read
 * ahead of the attempt, so a slow target slows the sender down.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { MAX_HASHED_BYTES } from '../suspect/index.js'

export const DEFAULT_BUFFER_BYTES = 64 * 1024

/** The bytes that identify the body of a request. */
const PREFIX_BYTES = MAX_HASHED_BYTES

/** Time for which a sender may continue to send after it received its response, before its connection is closed. */
const LINGER_MS = 2_000

export class RequestBody {
  private readonly chunks: Buffer[] = []
  private bufferedBytes = 0
  private ended = false
  private isFullyBuffered = true
  private exceedsLimit = false
  private hasStarted = false
  private isDiscarding = false
  private generation = 0
  private pendingRead: Promise<void> | undefined
  private reader: AsyncIterator<Buffer> | undefined
  private limitBytes = Infinity
  private bufferBytes = DEFAULT_BUFFER_BYTES
  private buffersChunked = false

  constructor (private readonly message: IncomingMessage, private readonly response: ServerResponse) {}

  setLimit (bytes: number): void {
    this.limitBytes = bytes
  }

  /** Bodies up to this size, including chunked bodies, are buffered to their end before they are forwarded. */
  bufferUpTo (bytes: number): void {
    this.bufferBytes = bytes
    this.buffersChunked = true
  }

  /** Buffers the complete body, up to the limit of `setLimit`. */
  bufferAll (): void {
    this.bufferBytes = Infinity
  }

  /** The complete body, once it was read to its end and all of it is buffered. */
  get buffered (): Buffer | undefined {
    return this.ended && this.isFullyBuffered ? Buffer.concat(this.chunks) : undefined
  }

  /** The beginning of the body, once it was read: its first PREFIX_BYTES, or all of a shorter one. */
  get prefix (): Buffer | undefined {
    const isRead = this.isFullyBuffered && (this.ended || this.bufferedBytes >= PREFIX_BYTES)
    return isRead ? Buffer.concat(this.chunks, Math.min(this.bufferedBytes, PREFIX_BYTES)) : undefined
  }

  /** All bytes that were read are still buffered, so another attempt can send the same body. */
  get canResend (): boolean {
    return this.isFullyBuffered && !this.exceedsLimit
  }

  get isAboveLimit (): boolean {
    return this.exceedsLimit
  }

  /**
   * Reads a body that is known to be short to its end, so that a slow sender occupies no slot.
   * Resolves with false when the signal aborts before the body is complete.
   */
  async bufferShortBody (signal: AbortSignal): Promise<boolean> {
    const length = Number(this.message.headers['content-length'] ?? (this.buffersChunked ? 1 : Infinity))
    if (length === 0 || length > this.bufferBytes) return true
    return await awaitRead(this.readUpTo(this.bufferBytes + 1), signal)
  }

  /**
   * Reads the beginning of the body, except of one that is passed on as it comes since its length is not known.
   * Resolves with false when the signal aborts first.
   */
  async readPrefix (signal: AbortSignal): Promise<boolean> {
    if (this.message.headers['content-length'] === undefined && !this.buffersChunked) return true
    return await awaitRead(this.readUpTo(PREFIX_BYTES), signal)
  }

  open (): Readable | Buffer {
    this.generation += 1
    if (this.buffered !== undefined) return this.buffered
    return Readable.from(this.emitChunks(this.generation), { objectMode: false })
  }

  /** Detaches the body from the attempt, whose stream fails unless it has ended. Later chunks go to the next attempt. */
  release (): void {
    this.generation += 1
  }

  /** Discards the rest of the body after the response, since a sender may not read its response before it has sent everything. */
  discardRest (): void {
    // The request has no body, or Node.js itself discards a body of which nothing was read.
    if (this.ended || (!this.hasStarted && this.message.complete)) return
    this.release()
    this.isDiscarding = true
    const { socket } = this.message
    const timer = setTimeout(() => { socket.destroy() }, LINGER_MS).unref()
    this.readAll().catch(() => { socket.destroy() }).finally(() => { clearTimeout(timer) })
  }

  private async readUpTo (bytes: number): Promise<void> {
    while (!this.ended && this.bufferedBytes < bytes) await this.readMore()
  }

  private async readAll (): Promise<void> {
    while (!this.ended) await this.readMore()
  }

  private async * emitChunks (generation: number): AsyncGenerator<Buffer> {
    for (let index = 0; ;) {
      const chunk = this.chunks[index]
      if (chunk !== undefined) {
        index = this.advance(index)
        yield chunk
      } else if (this.ended) {
        return
      } else {
        await this.readMore()
      }
      // A stream that ends tells the target that the body is complete.
      if (generation !== this.generation) throw new Error('another attempt or nobody gets the rest of the body')
    }
  }

  /** Returns the index of the next chunk. Above the buffer size, forwarded chunks are discarded. */
  private advance (index: number): number {
    if (this.bufferedBytes <= this.bufferBytes) return index + 1
    this.isFullyBuffered = false
    this.chunks.splice(0, index + 1)
    return 0
  }

  private async readMore (): Promise<void> {
    this.pendingRead ??= this.readNext().finally(() => { this.pendingRead = undefined })
    await this.pendingRead
  }

  private async readNext (): Promise<void> {
    if (!this.hasStarted) this.startReading()
    const next = await this.reader?.next()
    if (next === undefined || next.done === true) {
      this.ended = true
      return
    }
    if (this.isDiscarding) return
    this.bufferedBytes += next.value.length
    this.exceedsLimit = this.bufferedBytes > this.limitBytes
    if (this.exceedsLimit) throw new Error(`request body exceeds ${this.limitBytes} bytes`)
    this.chunks.push(next.value)
  }

  private startReading (): void {
    this.hasStarted = true
    this.reader = this.message[Symbol.asyncIterator]() as AsyncIterator<Buffer>
    if (this.message.headers.expect?.toLowerCase() === '100-continue' && !this.response.headersSent) this.response.writeContinue()
  }
}

/** Resolves with false when the reading fails or the signal aborts first. */
async function awaitRead (reading: Promise<void>, signal: AbortSignal): Promise<boolean> {
  return await new Promise(resolve => {
    const fail = (): void => { resolve(false) }
    if (signal.aborted) fail()
    signal.addEventListener('abort', fail, { once: true })
    reading.then(() => { resolve(true) }, fail)
  })
}
