/**
 * Events of the timeline. `wall` and `counter` form a hybrid logical time: wall-clock milliseconds,
 * then a counter that orders events within one millisecond and after messages from faster clocks.
 */
import * as z from 'zod'

/** The hybrid logical time of a process, by which events of different processes can be ordered. */
export const hybridTimeSchema = z.object({ wall: z.number(), counter: z.number().int() })
export type HybridTime = z.infer<typeof hybridTimeSchema>

export const eventKindSchema = z.enum([
  'document-staged', 'document-applied', 'document-refused', 'document-held',
  'source-lost', 'source-back',
  'target-joined', 'target-leaving', 'target-gone',
  'call-failed', 'node-started', 'node-ready', 'node-stopping'
])
export type EventKind = z.infer<typeof eventKindSchema>

export const timelineEventSchema = z.object({
  wall: z.number(),
  counter: z.number().int(),
  node: z.string(),
  zone: z.string(),
  kind: eventKindSchema,
  text: z.string(),
  service: z.string().optional(),
  version: z.number().int().optional(),
  request: z.string().optional(),
  host: z.string().optional()
})
export type TimelineEvent = z.infer<typeof timelineEventSchema>

export type EventDetail = Partial<Pick<TimelineEvent, 'service' | 'version' | 'request' | 'host'>>
