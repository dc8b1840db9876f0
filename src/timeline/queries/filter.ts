/**
 * Filters events for an operator's query. Every given field must match; times are wall-clock milliseconds.
 */
import * as z from 'zod'
import { eventKindSchema } from '../schema.js'
import type { TimelineEvent } from '../schema.js'

export const eventFilterSchema = z.object({
  service: z.string().optional(),
  version: z.number().int().optional(),
  request: z.string().optional(),
  host: z.string().optional(),
  zone: z.string().optional(),
  kinds: z.array(eventKindSchema).optional(),
  since: z.number().optional(),
  until: z.number().optional()
})
export type EventFilter = z.infer<typeof eventFilterSchema>

/** An event matches a host when the host recorded the event or when the event concerns the host. */
export function matchesFilter (event: TimelineEvent, filter: EventFilter): boolean {
  return matches(filter.service, event.service) &&
    matches(filter.version, event.version) &&
    matches(filter.request, event.request) &&
    matches(filter.zone, event.zone) &&
    (filter.host === undefined || filter.host === event.node || filter.host === event.host) &&
    (filter.kinds === undefined || filter.kinds.includes(event.kind)) &&
    event.wall >= (filter.since ?? 0) &&
    event.wall <= (filter.until ?? Infinity)
}

function matches<T> (wanted: T | undefined, found: T | undefined): boolean {
  return wanted === undefined || wanted === found
}

export function filterEvents (events: readonly TimelineEvent[], filter: EventFilter): TimelineEvent[] {
  return events.filter(event => matchesFilter(event, filter))
}
