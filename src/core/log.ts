/**
 * The structured log: one line of JSON on standard output for each decision on a request and each
 * change of the process's view of the system. Writing never blocks: lines above the limits are
 * dropped, and a later line reports how many.
 */
import { createConsola } from 'consola/core'
import type { ConsolaInstance } from 'consola/core'
import type { Clock } from './clock.js'

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/**
 * Each category has its own line limit. `detail` has the lowest, so its lines are the first to be dropped under load. `summary` is for
 * periodic counts.
 */
export type LogCategory = 'detail' | 'failure' | 'change' | 'summary'

export abstract class StructuredLog {
  /** `event` is a fixed name such as `request_failed`. */
  abstract log (category: LogCategory, event: string, fields: LogFields): void
}

const LIMIT_WINDOW_MS = 1_000
const MAX_LINES_PER_WINDOW: Record<LogCategory, number> = { detail: 20, failure: 100, change: 100, summary: 20 }
/** Bytes that are written to standard output but not consumed yet; more means that the reader is too slow. */
const MAX_PENDING_BYTES = 256 * 1024

export interface LogOutput { write: (text: string) => unknown, readonly writableLength: number }

export class JsonStructuredLog extends StructuredLog {
  private readonly output: ConsolaInstance
  private windowStart = 0
  private readonly written: Record<LogCategory, number> = { detail: 0, failure: 0, change: 0, summary: 0 }
  private dropped = 0

  constructor (private readonly host: string, private readonly clock: Clock, private readonly stream: LogOutput = process.stdout) {
    super()
    this.output = createConsola({ reporters: [{ log: ({ args }) => { stream.write(`${String(args[0])}\n`) } }] })
  }

  override log (category: LogCategory, event: string, fields: LogFields): void {
    this.advance()
    if (this.written[category] >= MAX_LINES_PER_WINDOW[category] || this.stream.writableLength > MAX_PENDING_BYTES) {
      this.dropped += 1
      return
    }
    this.written[category] += 1
    this.write(event, fields)
  }

  private advance (): void {
    const now = this.clock.monotonic()
    if (now - this.windowStart < LIMIT_WINDOW_MS) return
    this.windowStart = now
    for (const category of Object.keys(this.written) as LogCategory[]) this.written[category] = 0
    if (this.dropped === 0) return
    this.write('log_lines_dropped', { lines: this.dropped })
    this.dropped = 0
  }

  private write (event: string, fields: LogFields): void {
    const line = { at: new Date(this.clock.now()).toISOString(), upMs: Math.round(this.clock.monotonic()), host: this.host, event, ...fields }
    this.output.log(JSON.stringify(line))
  }
}
