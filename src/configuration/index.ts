/**
 * The versioned configuration and its sources.
 */
export { callerLimitsSchema, configurationSchema, refusedVersionSchema } from './schema.js'
export type { CallerLimits, Configuration, RefusedVersion } from './schema.js'
export { ConfigurationSource } from './source.js'
export type { ConfigurationUpdate, WatchResult } from './source.js'
export { DocumentSource } from './documents.js'
export { listEntriesWithDeletions } from './queries/entries.js'
