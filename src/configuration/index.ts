/**
 * The versioned configuration and its sources.
 */
export { ConfigurationHistory } from './history.js'
export { callerLimitsSchema, configurationChangeSchema, configurationSchema, refusedVersionSchema } from './schema.js'
export type { CallerLimits, Configuration, ConfigurationChange, RefusedVersion, UnreadablePart } from './schema.js'
export { ConfigurationSource } from './source.js'
export type { ConfigurationUpdate, WatchResult } from './source.js'
export { DocumentSource } from './documents.js'
export { applyChange, deriveChange } from './queries/change.js'
export { listEntriesWithDeletions } from './queries/entries.js'
