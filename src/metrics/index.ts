/**
 * Metrics of one process.
 */
export { Metrics } from './registry.js'
export type { Labels } from './registry.js'
