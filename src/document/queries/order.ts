/**
 * The order in which several documents are accepted: each after the services that it refers to.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { Document } from '../schema.js'
import { listReferences, makeMissingReference } from './references.js'

/**
 * `present` are the services that exist. References to those do not bind the order, so only new
 * services may not refer to each other in a circle.
 */
export function orderDocuments (documents: readonly Document[], present: ReadonlySet<string>): Result<Document[], Fault[]> {
  const faults = [...checkTwice(documents), ...checkMissing(documents, present)]
  if (faults.length > 0) return Err(faults)
  const ordered: Document[] = []
  const left = [...documents]
  while (left.length > 0) {
    const waiting = new Set(left.map(document => document.service))
    const ready = left.filter(document => listReferences(document).every(name => present.has(name) || !waiting.has(name)))
    // Where several may go, one that waits for nobody goes first.
    const next = ready.find(document => listReferences(document).every(name => !waiting.has(name))) ?? ready[0]
    if (next === undefined) return Err([makeCircle(left)])
    ordered.push(next)
    left.splice(left.indexOf(next), 1)
  }
  return Ok(ordered)
}

function checkTwice (documents: readonly Document[]): Fault[] {
  const names = documents.map(document => document.service)
  const twice = new Set(names.filter((name, index) => names.indexOf(name) !== index))
  return [...twice].map(name => makeFault('duplicate_document', `${name} has more than one document`, {
    path: ['service'], expected: 'one document for each service', found: name
  }))
}

function checkMissing (documents: readonly Document[], present: ReadonlySet<string>): Fault[] {
  const known = new Set([...present, ...documents.map(document => document.service)])
  return documents.flatMap(document => listReferences(document).filter(name => !known.has(name)).map(name =>
    makeMissingReference(document.service, name)))
}

function makeCircle (left: readonly Document[]): Fault {
  const names = left.map(document => document.service).join(', ')
  return makeFault('circle', `the new services ${names} refer to each other; apply one without the reference first`, {
    expected: 'new services without a circle', found: names
  })
}
