/**
 * The other services that a document refers to, by its routes and by `needs`.
 */
import { getOrMake, makeFault } from '../../core/index.js'
import type { Fault } from '../../core/index.js'
import type { Document } from '../schema.js'

/** Documents are replaced, never changed. A version is compared with others several times, and may have thousands of routes. */
const references = new WeakMap<Document, readonly string[]>()

export function listReferences (document: Document): readonly string[] {
  return getOrMake(references, document, () => collectReferences(document))
}

function collectReferences (document: Document): string[] {
  const names = new Set(document.needs)
  for (const route of Object.values(document.routes)) {
    for (const [name, destination] of Object.entries(route.to)) names.add(destination.service ?? name)
  }
  names.delete(document.service)
  return [...names].sort()
}

export function makeMissingReferenceFault (referrer: string, service: string): Fault {
  return makeFault('missing_reference', `${referrer} refers to ${service}, which does not exist; apply it first or together`, {
    expected: 'the name of a service that exists', found: service
  })
}
