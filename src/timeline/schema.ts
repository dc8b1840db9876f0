/**
 * Events of the time line. `at` is a hybrid logical time: wall-clock milliseconds, then a
 * counter that orders events within one millisecond and after messages from faster clocks.
 */
import { z } from 'zod'

export const eventKindSchema = z.enum([
  'document-staged', 'document-applied', 'document-refused', 'document-held',
  'duty-claimed', 'duty-lost', 'upstream-changed', 'upstream-lost',
  'target-joined', 'target-leaving', 'target-lost', 'target-gone',
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
