/**
 * The complete validation of a document. It is deterministic and depends only on the document.
 */
import { Err, Ok, formatCanonicalJson, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { documentSchema, MAX_DOCUMENT_BYTES } from '../schema.js'
import type { Document, Route } from '../schema.js'
import { convertIssue, formatFoundValue } from './issues.js'

export function checkDocument (value: unknown): Result<Document, Fault[]> {
  const parsed = documentSchema.safeParse(value)
  if (!parsed.success) return Err(parsed.error.issues.flatMap(issue => convertIssue(issue, value)))
  const document = parsed.data
  const faults = [
    ...checkRoutes(document),
    ...checkNeeds(document),
    ...checkDuplicates(['callers'], document.callers ?? []),
    ...checkSize(document)
  ]
  return faults.length === 0 ? Ok(document) : Err(faults)
}

function checkRoutes (document: Document): Fault[] {
  const seen = new Map<string, string>()
  return Object.entries(document.routes).flatMap(([name, route]) => [
    ...checkDuplicates(['routes', name, 'methods'], route.methods),
    ...checkDuplicateMatches(name, route, seen),
    ...checkWeights(name, route)
  ])
}

function checkDuplicateMatches (name: string, route: Route, seen: Map<string, string>): Fault[] {
  const faults: Fault[] = []
  for (const method of new Set(route.methods)) {
    const key = `${method} ${route.path}`
    const other = seen.get(key)
    if (other !== undefined) {
      faults.push(makeFault('duplicate_match', `matches the same requests as routes.${other}`, {
        path: ['routes', name, 'path'], expected: 'a method and path that no other route has', found: key
      }))
    }
    seen.set(key, name)
  }
  return faults
}

function checkWeights (name: string, route: Route): Fault[] {
  const weights = Object.values(route.to).map(destination => destination.weight)
  if (weights.length === 0 || weights.some(weight => weight > 0)) return []
  return [makeFault('no_weight', 'has no destination that gets requests', {
    path: ['routes', name, 'to'], expected: 'at least one weight above 0', found: formatFoundValue(weights)
  })]
}

function checkNeeds (document: Document): Fault[] {
  const faults = checkDuplicates(['needs'], document.needs)
  const index = document.needs.indexOf(document.service)
  if (index < 0) return faults
  return [...faults, makeFault('needs_itself', 'names the service itself', {
    path: ['needs', index], expected: 'the name of another service', found: document.service
  })]
}

function checkDuplicates (path: Fault['path'], values: readonly string[]): Fault[] {
  return values.flatMap((value, index) => values.indexOf(value) === index
    ? []
    : [makeFault('duplicate_item', 'is repeated', { path: [...path, index], expected: 'each item once', found: value })])
}

function checkSize (document: Document): Fault[] {
  const size = Buffer.byteLength(formatCanonicalJson(document))
  if (size <= MAX_DOCUMENT_BYTES) return []
  return [makeFault('too_large', 'the document is too large', {
    expected: `at most ${MAX_DOCUMENT_BYTES} bytes of JSON with all defaults`, found: `${size} bytes`
  })]
}
