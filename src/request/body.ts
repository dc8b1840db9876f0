/**
 * The body of one request, read once from its sender and given to each attempt from its beginning.
 * Up to KEEP_BYTES are kept for that; what is read beyond them goes to one attempt only. Nothing is
 * read ahead of the attempt, so a slow target slows the sender.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'

export const KEEP_BYTES = 64 * 1024

/** How long a sender may go on sending after it got its answer, before its connection is closed. */
const LINGER_MS = 2_000

export class RequestBody {
  private readonly chunks: Buffer[] = []
  private bytes = 0
  private ended = false
  private whole = true
  private above = false
  private begun = false
  private discarding = false
  private turn = 0
  private pulling: Promise<void> | undefined
  private reader: AsyncIterator<Buffer> | undefined
  private limit = Infinity
  private keepBytes = KEEP_BYTES
  private collectsChunks = false

  constructor (private readonly message: IncomingMessage, private readonly response: ServerResponse) {}

  setLimit (bytes: number): void {
    this.limit = bytes
  }

  /** Bodies up to this size are read to their end before they are sent on, also those that come in chunks. */
  keepUpTo (bytes: number): void {
    this.keepBytes = bytes
    this.collectsChunks = true
  }

  /** Keeps the whole body, whatever its length up to the limit. */
  keepAll (): void {
    this.keepBytes = Infinity
  }

  /** The whole body once it was read to its end and kept. */
  get kept (): Buffer | undefined {
    return this.ended && this.whole ? Buffer.concat(this.chunks) : undefined
  }

  /** All that was read is kept, so another attempt can be given the same. */
  get canResend (): boolean {
    return this.whole && !this.above
  }

  get isAboveLimit (): boolean {
    return this.above
  }

  /**
   * Reads a body that is known to be short to its end, so that a slow sender holds no slot.
   * False when it did not come whole before the signal.
   */
  async collect (signal: AbortSignal): Promise<boolean> {
    const length = Number(this.message.headers['content-length'] ?? (this.collectsChunks ? 1 : Infinity))
    if (length === 0 || length > this.keepBytes) return true
    return await new Promise(resolve => {
      const giveUp = (): void => { resolve(false) }
      if (signal.aborted) giveUp()
      signal.addEventListener('abort', giveUp, { once: true })
      this.readKept().then(() => { resolve(true) }, giveUp)
    })
  }

  open (): Readable | Buffer {
    this.turn += 1
    if (this.kept !== undefined) return this.kept
    return Readable.from(this.emitChunks(this.turn), { objectMode: false })
  }

  /** The attempt is over: whatever it still waits for belongs to the next one. */
  release (): void {
    this.turn += 1
  }

  /** Called after the answer. Takes what the sender still sends, for it may not read its answer before it has sent all. */
  drainRest (): void {
    // A request without a body; Node itself takes what is left of one that nobody began to read.
    if (this.ended || (!this.begun && this.message.complete)) return
    this.release()
    this.discarding = true
    const { socket } = this.message
    const timer = setTimeout(() => { socket.destroy() }, LINGER_MS).unref()
    this.readAll().catch(() => { socket.destroy() }).finally(() => { clearTimeout(timer) })
  }

  private async readKept (): Promise<void> {
    while (!this.ended && this.bytes <= this.keepBytes) await this.readMore()
  }

  private async readAll (): Promise<void> {
    while (!this.ended) await this.readMore()
  }

  private async * emitChunks (turn: number): AsyncGenerator<Buffer> {
    for (let at = 0; ;) {
      const chunk = this.chunks[at]
      if (chunk !== undefined) {
        at = this.pass(at)
        yield chunk
      } else if (this.ended) {
        return
      } else {
        await this.readMore()
      }
      if (turn !== this.turn) return
    }
  }

  /** The place of the next chunk. Beyond what is kept, a chunk that was passed on is dropped. */
  private pass (at: number): number {
    if (this.bytes <= this.keepBytes) return at + 1
    this.whole = false
    this.chunks.splice(0, at + 1)
    return 0
  }

  private async readMore (): Promise<void> {
    this.pulling ??= this.readNext().finally(() => { this.pulling = undefined })
    await this.pulling
  }

  private async readNext (): Promise<void> {
    if (!this.begun) this.begin()
    const next = await this.reader?.next()
    if (next === undefined || next.done === true) {
      this.ended = true
      return
    }
    if (this.discarding) return
    this.bytes += next.value.length
    this.above = this.bytes > this.limit
    if (this.above) throw new Error(`body above ${this.limit} bytes`)
    this.chunks.push(next.value)
  }

  private begin (): void {
    this.begun = true
    this.reader = this.message[Symbol.asyncIterator]() as AsyncIterator<Buffer>
    if (this.message.headers.expect?.toLowerCase() === '100-continue' && !this.response.headersSent) this.response.writeContinue()
  }
}
