/**
 * One node process, assembled from its parts, and the node program with the project's own interface.
 */
export { Node } from './start.js'
export type { Access, NodeParts, Policies, StopResult } from './start.js'
export { addressSchema, nodeSettingsSchema } from './settings.js'
export type { NodeSettings, NodeTimes } from './settings.js'
export { defineNodeCommand, ownSettingsSchema, startOwnNode } from './command.js'
export type { OwnSettings } from './command.js'
export { startServer, writeJson } from './http.js'
