/**
 * The largest set of newest versions in which every reference has its service. Starts from the
 * newest version of each service and puts back what does not fit to the version in force. The
 * set in force is closed, and each step puts one service back, so this ends.
 */
import { listReferences } from '../../document/index.js'
import type { Entry, EntryMap } from '../schema.js'

export function computeClosed (staged: EntryMap, inForce: EntryMap): Map<string, Entry> {
  const chosen = new Map(staged)
  while (true) {
    const misfits = findMisfits(chosen, inForce)
    if (misfits.size === 0) return chosen
    for (const service of misfits) restoreEntry(chosen, inForce, service)
  }
}

/** Services whose chosen version must go back: referrers of a missing service, and deletions still needed. */
function findMisfits (chosen: EntryMap, inForce: EntryMap): Set<string> {
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
