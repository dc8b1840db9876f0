/**
 * The versions that a node holds and the snapshot that it routes by.
 */
export { entrySchema } from './schema.js'
export type { Entry, EntryMap, Snapshot } from './schema.js'
export { SnapshotTable } from './table.js'
export { selectConsistent } from './queries/consistent.js'
export { stageEntry } from './commands/stage.js'
export { promoteConsistent, replaceTargets } from './commands/promote.js'
export type { Promotion } from './commands/promote.js'
