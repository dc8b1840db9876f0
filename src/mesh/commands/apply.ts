/**
 * Puts a version of the configuration in force, whole and in one assignment. An older version changes nothing.
 */
import { makeEntries } from '../../configuration/index.js'
import type { Configuration } from '../../configuration/index.js'
import type { Clock } from '../../core/index.js'
import { promoteClosed, stageEntry } from '../../snapshot/index.js'
import type { MeshState } from '../state.js'

/** True when the version was newer than the one in force. */
export function applyConfiguration (state: MeshState, configuration: Configuration, clock: Clock): boolean {
  if (configuration.version <= state.version) return false
  for (const entry of makeEntries(configuration, state.table.staged.keys(), clock.now())) stageEntry(state.table, entry)
  promoteClosed(state.table, state.members.targets)
  state.configuration = configuration
  return true
}
