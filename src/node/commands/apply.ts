/**
 * Puts a version of the configuration in force as a whole, in one assignment. An older version changes nothing.
 */
import { AccountTable } from '../../account/index.js'
import { listEntriesWithDeletions } from '../../configuration/index.js'
import type { Configuration } from '../../configuration/index.js'
import { promoteConsistent, stageEntry } from '../../snapshot/index.js'
import type { Entry, Promotion } from '../../snapshot/index.js'
import type { NodeState } from '../state.js'

/** The effect of a version of the configuration: entries that are new to this node, entries put in force, and pending entries. */
export interface ApplyResult extends Promotion { staged: Entry[] }

/** Returns undefined if the version is not newer than the one in force. */
export function applyConfiguration (state: NodeState, configuration: Configuration): ApplyResult | undefined {
  if (configuration.version <= state.version) return undefined
  const staged = listEntriesWithDeletions(configuration, state.snapshotTable.staged.keys()).filter(entry => stageEntry(state.snapshotTable, entry))
  const { accounts } = configuration
  if (accounts !== state.configuration?.accounts) state.accounts = new AccountTable(accounts !== undefined, accounts)
  state.configuration = configuration
  state.history.add(configuration)
  return { staged, ...promoteConsistent(state.snapshotTable, state.members.targets) }
}
