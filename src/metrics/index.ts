/**
 * Metrics of one process.
 */
export { formatProcess } from './process.js'
export { Metrics } from './registry.js'
export type { Labels } from './registry.js'
