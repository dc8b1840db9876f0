/**
 * Determines the outcome of an edit whose write had no response, from the current state of the platform.
 */
import type { Edit, PastEdit } from '../stored.js'
import type { ServiceState } from './read.js'

/** The number of earlier edits that the tool lists in each object. */
export const MAX_EARLIER_EDITS = 16

export type EditOutcome =
  | { state: 'accepted', version: number }
  | { state: 'not-accepted' }
  | { state: 'not-known' }

export function findEditVersion (version: number, edit: Edit, editId: string): number | undefined {
  if (edit.editId === editId) return version
  return edit.earlierEdits.find(earlier => earlier.editId === editId)?.version
}

/** `base` is the state that the write of the edit was conditional on. */
export function decideOutcome (base: ServiceState, current: ServiceState, editId: string): EditOutcome {
  if (current.edit === undefined) return { state: 'not-known' }
  const version = findEditVersion(current.version, current.edit, editId)
  if (version !== undefined) return { state: 'accepted', version }
  // The write may still arrive and succeed while the object has the expected version.
  if (current.version === base.version) return { state: 'not-known' }
  return isEditChainComplete(base, current, current.edit) ? { state: 'not-accepted' } : { state: 'not-known' }
}

/** Returns true when the object lists every edit since the base. */
function isEditChainComplete (base: ServiceState, current: ServiceState, edit: Edit): boolean {
  if (base.version === 0) return edit.earlierEdits.length < MAX_EARLIER_EDITS
  return base.edit !== undefined && findEditVersion(current.version, edit, base.edit.editId) !== undefined
}

export function findPastVersion (history: readonly PastEdit[], editId: string): number | undefined {
  return history.find(past => past.editId === editId)?.version
}
