/**
 * Selects the largest set of newest versions in which every referenced service exists. The selection
 * starts from the newest version of each service and reverts each inconsistent one to the version in
 * force. The set in force is consistent, and each step reverts a service, so the selection ends.
 */
import { listReferences } from '../../document/index.js'
import type { Entry, EntryMap } from '../schema.js'

/**
 * If a version in force still needs a deleted service, the deletion is postponed and the selection is
 * repeated with that service present, since more of the newest versions may fit then. A postponed
 * deletion is still applied if no version of the final selection needs the service.
 */
export function selectConsistent (staged: EntryMap, inForce: EntryMap): Map<string, Entry> {
  const postponed = new Set<string>()
  while (true) {
    const { selected, needed } = selectVersions(staged, inForce, postponed)
    if (needed.size === 0) return applyPostponedDeletions(selected, staged, postponed)
    for (const service of needed) postponed.add(service)
  }
}

interface Selection { selected: Map<string, Entry>, needed: Set<string> }

/** `needed`: services whose deletion was reverted although it was not postponed. */
function selectVersions (staged: EntryMap, inForce: EntryMap, postponed: ReadonlySet<string>): Selection {
  const selected = new Map(staged)
  const needed = new Set<string>()
  for (const service of postponed) restoreEntry(selected, inForce, service)
  while (true) {
    const inconsistent = findInconsistent(selected, inForce)
    if (inconsistent.size === 0) return { selected, needed }
    for (const service of inconsistent) {
      const isDeletion = selected.get(service)?.document === undefined
      if (isDeletion) needed.add(service)
      restoreEntry(selected, inForce, service)
    }
  }
}

/** Returns services whose selected version must be reverted: referrers of a missing service, and deleted services that are still needed. */
function findInconsistent (selected: EntryMap, inForce: EntryMap): Set<string> {
  const inconsistent = new Set<string>()
  for (const entry of selected.values()) {
    if (entry.document === undefined) continue
    for (const reference of listReferences(entry.document)) {
      if (selected.get(reference)?.document !== undefined) continue
      inconsistent.add(entry === inForce.get(entry.service) ? reference : entry.service)
    }
  }
  return inconsistent
}

function restoreEntry (selected: Map<string, Entry>, inForce: EntryMap, service: string): void {
  const current = inForce.get(service)
  if (current === undefined) selected.delete(service)
  else selected.set(service, current)
}

/** Each applied deletion may remove the last reference to another service whose deletion was postponed. */
function applyPostponedDeletions (selected: Map<string, Entry>, staged: EntryMap, postponed: Set<string>): Map<string, Entry> {
  const remaining = [...postponed].flatMap(service => staged.get(service) ?? [])
  let next: Entry | undefined
  do {
    const needed = new Set([...selected.values()].flatMap(entry => entry.document === undefined ? [] : listReferences(entry.document)))
    next = remaining.find(entry => selected.get(entry.service) !== entry && !needed.has(entry.service))
    if (next !== undefined) selected.set(next.service, next)
  } while (next !== undefined)
  return selected
}
