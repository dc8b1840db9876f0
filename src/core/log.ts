/**
 * The structured log: one line of JSON on standard output for each decision on a request and each
 * change of what the process believes. Writing never waits: lines above the limits are dropped,
 * and a line says later how many.
 */
import { createConsola } from 'consola'
import type { ConsolaInstance } from 'consola'
import type { Clock } from './clock.js'

export type Fields = Readonly<Record<string, string | number | boolean | undefined>>

/** `detail` lines are the first to be dropped under load; `failure` lines and `change` lines have a limit of their own. */
export type Importance = 'detail' | 'failure' | 'change'

export abstract class StructuredLog {
  /** `event` is a fixed name such as `request_refused`. */
  abstract log (importance: Importance, event: string, fields: Fields): void
}

const WINDOW_MS = 1_000
const LINES_PER_WINDOW: Record<Importance, number> = { detail: 20, failure: 100, change: 100 }
/** Bytes that standard output has not taken yet; more means that its reader is behind. */
const MAX_PENDING_BYTES = 256 * 1024

export interface LogOutput { write: (text: string) => unknown, readonly writableLength: number }

export class JsonStructuredLog extends StructuredLog {
  private readonly output: ConsolaInstance
  private windowStart = 0
  private readonly written: Record<Importance, number> = { detail: 0, failure: 0, change: 0 }
  private dropped = 0

  constructor (private readonly host: string, private readonly clock: Clock, private readonly stream: LogOutput = process.stdout) {
    super()
    this.output = createConsola({ reporters: [{ log: ({ args }) => { stream.write(`${String(args[0])}\n`) } }] })
  }

  override log (importance: Importance, event: string, fields: Fields): void {
    this.advance()
    if (this.written[importance] >= LINES_PER_WINDOW[importance] || this.stream.writableLength > MAX_PENDING_BYTES) {
      this.dropped += 1
      return
    }
    this.written[importance] += 1
    this.write(event, fields)
  }

  private advance (): void {
    const now = this.clock.monotonic()
    if (now - this.windowStart < WINDOW_MS) return
    this.windowStart = now
    for (const importance of Object.keys(this.written) as Importance[]) this.written[importance] = 0
    if (this.dropped === 0) return
    this.write('log_lines_dropped', { lines: this.dropped })
    this.dropped = 0
  }

  private write (event: string, fields: Fields): void {
    const line = { at: new Date(this.clock.now()).toISOString(), upMs: Math.round(this.clock.monotonic()), host: this.host, event, ...fields }
    this.output.log(JSON.stringify(line))
  }
}
