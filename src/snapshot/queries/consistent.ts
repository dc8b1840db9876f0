/**
 * The largest set of newest versions in which every reference has its service. Starts from the
 * newest version of each service and puts back what does not fit to the version in force. The
 * set in force is closed, and each step puts one service back, so this ends.
 */
import { listReferences } from '../../document/index.js'
import type { Entry, EntryMap } from '../schema.js'

/**
 * A deletion that a version in force still needs is put back first, and the rest chosen anew with
 * that service present: more of the newest versions may fit then. Such a deletion is taken after
 * all when nothing that was chosen in the end needs the service.
 */
export function selectConsistent (staged: EntryMap, inForce: EntryMap): Map<string, Entry> {
  const postponed = new Set<string>()
  while (true) {
    const { chosen, needed } = selectVersions(staged, inForce, postponed)
    if (needed.size === 0) return applyPostponedDeletions(chosen, staged, postponed)
    for (const service of needed) postponed.add(service)
  }
}

interface Selection { chosen: Map<string, Entry>, needed: Set<string> }

/** `needed` are deletions that were put back although they were not postponed. */
function selectVersions (staged: EntryMap, inForce: EntryMap, postponed: ReadonlySet<string>): Selection {
  const chosen = new Map(staged)
  const needed = new Set<string>()
  for (const service of postponed) restoreEntry(chosen, inForce, service)
  while (true) {
    const misfits = findInconsistent(chosen, inForce)
    if (misfits.size === 0) return { chosen, needed }
    for (const service of misfits) {
      const isDeletion = chosen.get(service)?.document === undefined
      if (isDeletion) needed.add(service)
      restoreEntry(chosen, inForce, service)
    }
  }
}

/** Services whose chosen version must go back: referrers of a missing service, and deletions still needed. */
function findInconsistent (chosen: EntryMap, inForce: EntryMap): Set<string> {
  const misfits = new Set<string>()
  for (const entry of chosen.values()) {
    if (entry.document === undefined) continue
    for (const reference of listReferences(entry.document)) {
      if (chosen.get(reference)?.document !== undefined) continue
      misfits.add(entry === inForce.get(entry.service) ? reference : entry.service)
    }
  }
  return misfits
}

function restoreEntry (chosen: Map<string, Entry>, inForce: EntryMap, service: string): void {
  const held = inForce.get(service)
  if (held === undefined) chosen.delete(service)
  else chosen.set(service, held)
}

/** A deletion that takes effect may end the need for another one's service. */
function applyPostponedDeletions (chosen: Map<string, Entry>, staged: EntryMap, postponed: Set<string>): Map<string, Entry> {
  const open = [...postponed].flatMap(service => staged.get(service) ?? [])
  let next: Entry | undefined
  do {
    const needed = new Set([...chosen.values()].flatMap(entry => entry.document === undefined ? [] : listReferences(entry.document)))
    next = open.find(entry => chosen.get(entry.service) !== entry && !needed.has(entry.service))
    if (next !== undefined) chosen.set(next.service, next)
  } while (next !== undefined)
  return chosen
}
