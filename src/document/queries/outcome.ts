/**
 * What became of an edit whose write had no answer, from what the platform holds now.
 */
import type { Edit, PastEdit } from '../stored.js'
import type { ServiceState } from './read.js'

/** The tool keeps so many earlier edits in each object. */
export const KEPT_EARLIER_EDITS = 16

export type Outcome =
  | { state: 'accepted', version: number }
  | { state: 'not-accepted' }
  | { state: 'not-known' }

export function findEditVersion (version: number, edit: Edit, editId: string): number | undefined {
  if (edit.editId === editId) return version
  return edit.earlierEdits.find(earlier => earlier.editId === editId)?.version
}

/** `base` is the state that the edit was conditioned on. */
export function decideOutcome (base: ServiceState, now: ServiceState, editId: string): Outcome {
  if (now.edit === undefined) return { state: 'not-known' }
  const version = findEditVersion(now.version, now.edit, editId)
  if (version !== undefined) return { state: 'accepted', version }
  // The write may still be on its way while its condition holds.
  if (now.version === base.version) return { state: 'not-known' }
  return isChainWhole(base, now, now.edit) ? { state: 'not-accepted' } : { state: 'not-known' }
}

/** True when every edit since the base is among those that the object names. */
function isChainWhole (base: ServiceState, now: ServiceState, edit: Edit): boolean {
  if (base.version === 0) return edit.earlierEdits.length < KEPT_EARLIER_EDITS
  return base.edit !== undefined && findEditVersion(now.version, edit, base.edit.editId) !== undefined
}

export function findPastVersion (history: readonly PastEdit[], editId: string): number | undefined {
  return history.find(past => past.editId === editId)?.version
}
