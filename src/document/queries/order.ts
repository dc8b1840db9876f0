/**
 * Orders several documents for acceptance: each after the services that it refers to.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { Document } from '../schema.js'
import { listReferences, makeMissingReferenceFault } from './references.js'

/**
 * `present` are the services that exist. References to existing services do not constrain the order,
 * so only cycles among new services are rejected.
 */
export function orderDocuments (documents: readonly Document[], present: ReadonlySet<string>): Result<Document[], Fault[]> {
  const faults = [...checkDuplicateDocuments(documents), ...checkMissing(documents, present)]
  if (faults.length > 0) return Err(faults)
  const ordered: Document[] = []
  const remaining = [...documents]
  while (remaining.length > 0) {
    const remainingNames = new Set(remaining.map(document => document.service))
    const ready = remaining.filter(document => listReferences(document).every(name => present.has(name) || !remainingNames.has(name)))
    // Of several candidates, one that refers to no remaining document goes first.
    const next = ready.find(document => listReferences(document).every(name => !remainingNames.has(name))) ?? ready[0]
    if (next === undefined) return Err([makeCycleFault(remaining)])
    ordered.push(next)
    remaining.splice(remaining.indexOf(next), 1)
  }
  return Ok(ordered)
}

function checkDuplicateDocuments (documents: readonly Document[]): Fault[] {
  const names = documents.map(document => document.service)
  const duplicates = new Set(names.filter((name, index) => names.indexOf(name) !== index))
  return [...duplicates].map(name => makeFault('duplicate_document', `${name} has more than one document`, {
    path: ['service'], expected: 'one document for each service', found: name
  }))
}

function checkMissing (documents: readonly Document[], present: ReadonlySet<string>): Fault[] {
  const known = new Set([...present, ...documents.map(document => document.service)])
  return documents.flatMap(document => listReferences(document).filter(name => !known.has(name)).map(name =>
    makeMissingReferenceFault(document.service, name)))
}

function makeCycleFault (remaining: readonly Document[]): Fault {
  const names = remaining.map(document => document.service).join(', ')
  return makeFault('circle', `the new services ${names} refer to each other; apply one without the reference first`, {
    expected: 'new services without a reference cycle', found: names
  })
}
