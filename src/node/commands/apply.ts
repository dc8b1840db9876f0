/**
 * Puts a version of the configuration in force, whole and in one assignment. An older version changes nothing.
 */
import { makeEntries } from '../../configuration/index.js'
import type { Configuration } from '../../configuration/index.js'
import { promoteClosed, stageEntry } from '../../snapshot/index.js'
import type { Entry, Promotion } from '../../snapshot/index.js'
import type { NodeState } from '../state.js'

/** What a version of the configuration brought: versions that are new here, those that came into force, and those held back. */
export interface Application extends Promotion { staged: Entry[] }

/** Gives nothing when the version is not newer than the one in force. */
export function applyConfiguration (state: NodeState, configuration: Configuration): Application | undefined {
  if (configuration.version <= state.version) return undefined
  const staged = makeEntries(configuration, state.snapshotTable.staged.keys()).filter(entry => stageEntry(state.snapshotTable, entry))
  state.configuration = configuration
  return { staged, ...promoteClosed(state.snapshotTable, state.members.targets) }
}
