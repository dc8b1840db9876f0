/**
 * The configuration as one versioned whole, and its source.
 */
export { callerLimitsSchema, configurationSchema } from './schema.js'
export type { CallerLimits, Configuration } from './schema.js'
export { ConfigurationSource } from './source.js'
export type { Sighting } from './source.js'
export { makeEntries } from './queries/entries.js'
