/**
 * The stand-in's faults and limits, as `POST /control` sets them.
 */
import { z } from 'zod'

export const callKindSchema = z.enum(['get', 'list', 'watch', 'write', 'remove'])
export type CallKind = z.infer<typeof callKindSchema>

const perCallSchema = z.partialRecord(callKindSchema, z.number().nonnegative())

export const switchesSchema = z.object({
  down: z.boolean().default(false),
  /** Added to each call, in ms. */
  slowMs: z.number().default(0),
  /** Between the effect of a write and its answer, in ms. */
  lateAnswerMs: z.number().default(0),
  /** Added to calls of one kind, in ms. */
  slowMsByCall: perCallSchema.default({}),
  /** The connection of the next so many writes and removals is cut before they take effect. */
  loseRequests: z.number().int().default(0),
  /** The next so many writes and removals take effect and their connection is then cut. */
  loseAnswers: z.number().int().default(0),
  /** Lists show the objects as they were so many revisions ago. */
  lagLists: z.number().int().default(0),
  /** Writes and removals together. */
  writesPerSecond: z.number().default(500),
  /** Gets, lists and opened watches together. */
  readsPerSecond: z.number().default(2000),
  /** Limits for calls of one kind, besides the two above. */
  perSecondByCall: perCallSchema.default({}),
  /** Ends all watches now; with `expireWatches` they cannot resume from before, either. */
  endWatches: z.boolean().default(false),
  /** The open watches stay open and say nothing more, like a connection that was lost on the way. */
  silenceWatches: z.boolean().default(false),
  expireWatches: z.boolean().default(false)
})
export type Switches = z.infer<typeof switchesSchema>

/** Counts calls by second of the wall clock. */
export class CallRate {
  private second = 0
  private used = 0

  take (limit: number): boolean {
    const now = Math.floor(Date.now() / 1000)
    if (now !== this.second) {
      this.second = now
      this.used = 0
    }
    this.used += 1
    return this.used <= limit
  }
}

export class CallLimits {
  private readonly writes = new CallRate()
  private readonly reads = new CallRate()
  private readonly byCall = new Map(callKindSchema.options.map(call => [call, new CallRate()]))

  admit (call: CallKind, { writesPerSecond, readsPerSecond, perSecondByCall }: Switches): boolean {
    const isChange = call === 'write' || call === 'remove'
    const shared = isChange ? this.writes.take(writesPerSecond) : this.reads.take(readsPerSecond)
    const own = this.byCall.get(call)?.take(perSecondByCall[call] ?? Infinity) ?? true
    return shared && own
  }
}
