/**
 * One node process, assembled from its parts.
 */
export { Node } from './start.js'
export type { AccessOptions, NodeParts, RequestPolicies, StopResult } from './parts.js'
export { nodeSettingsSchema } from './settings.js'
export type { NodeSettings, NodeTimeouts } from './settings.js'
export { startServer, writeJson } from './http.js'
export { handleUnexpectedErrors } from './unexpected.js'
