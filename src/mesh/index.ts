/**
 * One node process that follows the store itself and its peers straight.
 */
export { MeshNode } from './start.js'
export type { MeshParts } from './start.js'
export { readMeshSettings } from './settings.js'
export type { MeshSettings } from './settings.js'
