/**
 * Puts a version of the configuration in force, whole and in one assignment. An older version changes nothing.
 */
import { listEntriesWithDeletions } from '../../configuration/index.js'
import type { Configuration } from '../../configuration/index.js'
import { promoteConsistent, stageEntry } from '../../snapshot/index.js'
import type { Entry, Promotion } from '../../snapshot/index.js'
import type { NodeState } from '../state.js'

/** What a version of the configuration brought: versions that are new here, those that came into force, and those held back. */
export interface ApplyResult extends Promotion { staged: Entry[] }

/** Gives nothing when the version is not newer than the one in force. */
export function applyConfiguration (state: NodeState, configuration: Configuration): ApplyResult | undefined {
  if (configuration.version <= state.version) return undefined
  const staged = listEntriesWithDeletions(configuration, state.snapshotTable.staged.keys()).filter(entry => stageEntry(state.snapshotTable, entry))
  state.configuration = configuration
  return { staged, ...promoteConsistent(state.snapshotTable, state.members.targets) }
}
