/**
 * The body of one request, read once from its sender and given to each attempt from its beginning.
 * Up to KEEP_BYTES are kept for that; what is read beyond them goes to one attempt only. Nothing is
 * read ahead of the attempt, so a slow target slows the sender.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'

export const DEFAULT_BUFFER_BYTES = 64 * 1024

/** How long a sender may go on sending after it got its answer, before its connection is closed. */
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

  /** Bodies up to this size are read to their end before they are sent on, also those that come in chunks. */
  bufferUpTo (bytes: number): void {
    this.bufferBytes = bytes
    this.buffersChunked = true
  }

  /** Keeps the whole body, whatever its length up to the limit. */
  bufferAll (): void {
    this.bufferBytes = Infinity
  }

  /** The whole body once it was read to its end and kept. */
  get buffered (): Buffer | undefined {
    return this.ended && this.isFullyBuffered ? Buffer.concat(this.chunks) : undefined
  }

  /** All that was read is kept, so another attempt can be given the same. */
  get canResend (): boolean {
    return this.isFullyBuffered && !this.exceedsLimit
  }

  get isAboveLimit (): boolean {
    return this.exceedsLimit
  }

  /**
   * Reads a body that is known to be short to its end, so that a slow sender holds no slot.
   * False when it did not come whole before the signal.
   */
  async bufferShortBody (signal: AbortSignal): Promise<boolean> {
    const length = Number(this.message.headers['content-length'] ?? (this.buffersChunked ? 1 : Infinity))
    if (length === 0 || length > this.bufferBytes) return true
    return await new Promise(resolve => {
      const giveUp = (): void => { resolve(false) }
      if (signal.aborted) giveUp()
      signal.addEventListener('abort', giveUp, { once: true })
      this.readUpToBufferLimit().then(() => { resolve(true) }, giveUp)
    })
  }

  open (): Readable | Buffer {
    this.generation += 1
    if (this.buffered !== undefined) return this.buffered
    return Readable.from(this.emitChunks(this.generation), { objectMode: false })
  }

  /** The attempt is over: whatever it still waits for belongs to the next one. */
  release (): void {
    this.generation += 1
  }

  /** Called after the answer. Takes what the sender still sends, for it may not read its answer before it has sent all. */
  discardRest (): void {
    // A request without a body; Node itself takes what is left of one that nobody began to read.
    if (this.ended || (!this.hasStarted && this.message.complete)) return
    this.release()
    this.isDiscarding = true
    const { socket } = this.message
    const timer = setTimeout(() => { socket.destroy() }, LINGER_MS).unref()
    this.readAll().catch(() => { socket.destroy() }).finally(() => { clearTimeout(timer) })
  }

  private async readUpToBufferLimit (): Promise<void> {
    while (!this.ended && this.bufferedBytes <= this.bufferBytes) await this.readMore()
  }

  private async readAll (): Promise<void> {
    while (!this.ended) await this.readMore()
  }

  private async * emitChunks (turn: number): AsyncGenerator<Buffer> {
    for (let at = 0; ;) {
      const chunk = this.chunks[at]
      if (chunk !== undefined) {
        at = this.advance(at)
        yield chunk
      } else if (this.ended) {
        return
      } else {
        await this.readMore()
      }
      if (turn !== this.generation) return
    }
  }

  /** The place of the next chunk. Beyond what is kept, a chunk that was passed on is dropped. */
  private advance (at: number): number {
    if (this.bufferedBytes <= this.bufferBytes) return at + 1
    this.isFullyBuffered = false
    this.chunks.splice(0, at + 1)
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
    if (this.exceedsLimit) throw new Error(`body above ${this.limitBytes} bytes`)
    this.chunks.push(next.value)
  }

  private startReading (): void {
    this.hasStarted = true
    this.reader = this.message[Symbol.asyncIterator]() as AsyncIterator<Buffer>
    if (this.message.headers.expect?.toLowerCase() === '100-continue' && !this.response.headersSent) this.response.writeContinue()
  }
}
