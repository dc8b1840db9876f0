/**
 * The complete, deterministic check of a document. It needs nothing but the document.
 */
import type { z } from 'zod'
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { documentSchema, MAX_ONCE_BODY_BYTES } from '../schema.js'
import type { Document, Route } from '../schema.js'

export function checkDocument (value: unknown): Result<Document, Fault[]> {
  const parsed = documentSchema.safeParse(value)
  if (!parsed.success) return Err(parsed.error.issues.map(issue => convertIssue(issue, value)))
  const faults = [...checkRoutes(parsed.data), ...checkNeeds(parsed.data)]
  return faults.length === 0 ? Ok(parsed.data) : Err(faults)
}

function convertIssue (issue: z.core.$ZodIssue, value: unknown): Fault {
  const path = issue.path.filter(step => typeof step !== 'symbol')
  const expected = 'expected' in issue ? String(issue.expected) : issue.message
  return makeFault(issue.code, issue.message, { path, expected, found: formatFound(findValue(value, path)) })
}

function findValue (value: unknown, path: Fault['path']): unknown {
  return path.reduce<unknown>((at, step) => (at as Record<string | number, unknown> | undefined)?.[step], value)
}

function formatFound (value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value).slice(0, 80)
}

function checkRoutes (document: Document): Fault[] {
  const seen = new Map<string, string>()
  return Object.entries(document.routes).flatMap(([name, route]) => [
    ...checkMatches(name, route, seen),
    ...checkWeights(name, route),
    ...checkOnce(name, route)
  ])
}

function checkMatches (name: string, route: Route, seen: Map<string, string>): Fault[] {
  const faults: Fault[] = []
  for (const method of route.methods) {
    const key = `${method} ${route.path}`
    const other = seen.get(key)
    if (other !== undefined) {
      faults.push(makeFault('duplicate_match', `route matches the same requests as routes.${other}`, {
        path: ['routes', name, 'path'], expected: 'a method and path that no other route has', found: key
      }))
    }
    seen.set(key, name)
  }
  return faults
}

function checkWeights (name: string, route: Route): Fault[] {
  const destinations = Object.values(route.to)
  if (destinations.length === 0 || destinations.some(one => one.weight > 0)) return []
  return [makeFault('no_weight', 'all destinations have weight 0', {
    path: ['routes', name, 'to'], expected: 'at least one weight above 0', found: '0'
  })]
}

function checkOnce (name: string, { kind, maxBodyBytes }: Route): Fault[] {
  if (kind !== 'once' || maxBodyBytes <= MAX_ONCE_BODY_BYTES) return []
  return [makeFault('once_body_too_large', 'bodies of once routes are held in memory', {
    path: ['routes', name, 'maxBodyBytes'], expected: `at most ${MAX_ONCE_BODY_BYTES}`, found: String(maxBodyBytes)
  })]
}

function checkNeeds (document: Document): Fault[] {
  const index = document.needs.indexOf(document.service)
  if (index < 0) return []
  return [makeFault('needs_itself', 'a service cannot need itself', {
    path: ['needs', index], expected: 'the name of another service', found: document.service
  })]
}
