/**
 * The entries that take a node from the services that it holds to one version of the configuration.
 */
import type { Entry } from '../../snapshot/index.js'
import type { Configuration } from '../schema.js'

/** Services that the version does not have are deleted at that version. `at` is wall-clock milliseconds. */
export function makeEntries ({ version, documents }: Configuration, held: Iterable<string>, at: number): Entry[] {
  const hash = `configuration-${version}`
  const present = new Set(documents.map(document => document.service))
  const deleted = [...held].filter(service => !present.has(service))
  return [
    ...documents.map(document => ({ service: document.service, version, acceptedAt: at, hash, document })),
    ...deleted.map(service => ({ service, version, acceptedAt: at, hash }))
  ]
}
