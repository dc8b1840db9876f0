/**
 * Lists the entries that bring a node from its current services to a version of the configuration.
 */
import type { Entry } from '../../snapshot/index.js'
import type { Configuration } from '../schema.js'

/** If the version replaces all services, a current service that it does not contain is deleted at that version. */
export function listEntriesWithDeletions ({ version, entries, replacesAll }: Configuration, currentServices: Iterable<string>): Entry[] {
  if (!replacesAll) return entries
  const listedServices = new Set(entries.map(entry => entry.service))
  const deleted = [...currentServices].filter(service => !listedServices.has(service))
  return [...entries, ...deleted.map(service => ({ service, version, acceptedAt: 0, hash: '' }))]
}
