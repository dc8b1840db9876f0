/**
 * The versions of a node and the snapshot by which it routes requests.
 */
export { entrySchema } from './schema.js'
export type { Entry, EntryMap, Snapshot } from './schema.js'
export { SnapshotTable } from './table.js'
export { selectConsistent } from './queries/consistent.js'
export { stageEntry } from './commands/stage.js'
export { promoteConsistent, replaceTargets } from './commands/promote.js'
export type { Promotion } from './commands/promote.js'
