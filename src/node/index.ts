/**
 * One node process.
 */
export { Node } from './start.js'
export { defineNodeCommand } from './command.js'
export { ENV_PREFIX, formatVariable, nodeSettingsSchema, readSettings } from './settings.js'
export type { NodeSettings } from './settings.js'
export { splitAddress, startServer, writeJson } from './http.js'
