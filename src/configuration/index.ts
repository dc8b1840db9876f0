/**
 * The configuration as one versioned whole, and its sources.
 */
export { callerLimitsSchema, configurationSchema, refusalSchema } from './schema.js'
export type { CallerLimits, Configuration, Refusal } from './schema.js'
export { ConfigurationSource } from './source.js'
export type { Sighting, Watched } from './source.js'
export { DocumentSource } from './documents.js'
export { makeEntries } from './queries/entries.js'
