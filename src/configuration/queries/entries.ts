/**
 * The entries that take a node from the services that it holds to one version of the configuration.
 */
import type { Entry } from '../../snapshot/index.js'
import type { Configuration } from '../schema.js'

/** Where a version replaces all, services that it does not have are deleted at that version. */
export function listEntriesWithDeletions ({ version, entries, replacesAll }: Configuration, held: Iterable<string>): Entry[] {
  if (!replacesAll) return entries
  const present = new Set(entries.map(entry => entry.service))
  const deleted = [...held].filter(service => !present.has(service))
  return [...entries, ...deleted.map(service => ({ service, version, acceptedAt: 0, hash: '' }))]
}
