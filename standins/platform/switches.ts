/**
 * Schema of the platform stand-in's injected faults and rate limits, which `POST /control` sets.
 */
import * as z from 'zod'

export const callKindSchema = z.enum(['get', 'list', 'watch', 'write', 'remove'])
export type CallKind = z.infer<typeof callKindSchema>

const perCallSchema = z.partialRecord(callKindSchema, z.number().nonnegative())

export const switchesSchema = z.object({
  down: z.boolean().default(false),
  /** Delay that is added to each call, in ms. */
  slowMs: z.number().default(0),
  /** Delay between the effect of a write and its response, in ms. */
  lateAnswerMs: z.number().default(0),
  /** Delay that is added to calls of one kind, in ms. */
  slowMsByCall: perCallSchema.default({}),
  /** Number of upcoming writes and removals whose connection is closed before they take effect. */
  loseRequests: z.number().int().default(0),
  /** Number of upcoming writes and removals whose connection is closed after they take effect, without a response. */
  loseAnswers: z.number().int().default(0),
  /** Number of revisions by which lists lag behind. */
  lagLists: z.number().int().default(0),
  /** Shared limit of writes and removals. */
  writesPerSecond: z.number().default(500),
  /** Shared limit of gets, lists and newly opened watches. */
  readsPerSecond: z.number().default(2000),
  /** Limits for calls of one kind, in addition to the two shared limits. */
  perSecondByCall: perCallSchema.default({}),
  /** Ends all watches immediately; with `expireWatches` they cannot resume from an earlier revision, either. */
  endWatches: z.boolean().default(false),
  /** The current watches stay open but send nothing more, like a connection whose packets are lost in the network. */
  silenceWatches: z.boolean().default(false),
  expireWatches: z.boolean().default(false)
})
export type Switches = z.infer<typeof switchesSchema>

/** Counts calls in each second of the wall clock. */
export class FixedWindowCounter {
  private currentSecond = 0
  private count = 0

  admit (limit: number): boolean {
    const nowSecond = Math.floor(Date.now() / 1000)
    if (nowSecond !== this.currentSecond) {
      this.currentSecond = nowSecond
      this.count = 0
    }
    this.count += 1
    return this.count <= limit
  }
}

export class CallLimiter {
  private readonly writes = new FixedWindowCounter()
  private readonly reads = new FixedWindowCounter()
  private readonly byCall = new Map(callKindSchema.options.map(call => [call, new FixedWindowCounter()]))

  admit (call: CallKind, { writesPerSecond, readsPerSecond, perSecondByCall }: Switches): boolean {
    const isModification = call === 'write' || call === 'remove'
    const isWithinShared = isModification ? this.writes.admit(writesPerSecond) : this.reads.admit(readsPerSecond)
    const isWithinKind = this.byCall.get(call)?.admit(perSecondByCall[call] ?? Infinity) ?? true
    return isWithinShared && isWithinKind
  }
}
