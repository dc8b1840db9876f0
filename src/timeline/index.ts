/**
 * The timeline of the events of all processes.
 */
export { eventKindSchema, hybridTimeSchema, timelineEventSchema } from './schema.js'
export type { EventDetail, EventKind, HybridTime, TimelineEvent } from './schema.js'
export { EventRing, HybridLogicalClock, RING_CAPACITY_EVENTS } from './ring.js'
export { EventRecorder } from './commands/record.js'
export { eventFilterSchema, filterEvents } from './queries/filter.js'
export type { EventFilter } from './queries/filter.js'
export { explainVersion } from './queries/explain.js'
export type { VersionQuery } from './queries/explain.js'
export { formatEvents } from './queries/format.js'
export { formatHtmlPage } from './queries/page.js'
export { mergeEvents } from './queries/merge.js'
