/**
 * Metrics of one process.
 */
export { formatProcessMetrics } from './process.js'
export { Metrics } from './registry.js'
export type { Labels } from './registry.js'
