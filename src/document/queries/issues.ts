/**
 * Converts schema issues to faults with the path, the expected and the found value.
 */
import * as z from 'zod'
import { makeFault } from '../../core/index.js'
import type { Fault } from '../../core/index.js'
import { documentSchema } from '../schema.js'

const MAX_FOUND_VALUE_CHARACTERS = 80

type Issue = z.core.$ZodIssue

export function convertIssue (issue: Issue, value: unknown): Fault[] {
  const path = issue.path.filter(step => typeof step !== 'symbol')
  if (issue.code === 'unrecognized_keys') return issue.keys.map(key => makeUnknownField(path, key, value))
  const found = issue.code === 'invalid_key' ? String(path.at(-1)) : formatFoundValue(findValue(value, path))
  return [makeFault(issue.code, describeProblem(issue, found), { path, expected: describeExpected(issue), found })]
}

export function formatFoundValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = typeof value === 'bigint' ? String(value) : JSON.stringify(value) ?? String(value)
  return text.length > MAX_FOUND_VALUE_CHARACTERS ? `${text.slice(0, MAX_FOUND_VALUE_CHARACTERS)}…` : text
}

function findValue (value: unknown, path: Fault['path']): unknown {
  return path.reduce<unknown>((inner, step) => (inner as Record<string | number, unknown> | undefined)?.[step], value)
}

function describeProblem (issue: Issue, found: string): string {
  if (found === 'nothing') return 'is missing'
  switch (issue.code) {
    case 'invalid_type': return 'has the wrong type'
    case 'too_small': return 'is too small'
    case 'too_big': return 'is too big'
    case 'invalid_value': return 'is not one of the values'
    case 'invalid_key': return 'is not a valid name'
    default: return 'is not valid'
  }
}

function describeExpected (issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type': return issue.expected === 'int' ? 'a whole number' : issue.expected
    case 'too_small': return `at least ${formatBound(issue.origin, issue.minimum)}`
    case 'too_big': return `at most ${formatBound(issue.origin, issue.maximum)}`
    case 'invalid_value': return `one of ${issue.values.map(String).join(', ')}`
    case 'invalid_key': return issue.issues[0]?.message ?? 'a valid name'
    default: return issue.message
  }
}

function formatBound (origin: string, bound: number | bigint): string {
  if (origin === 'string') return `${bound} characters`
  return origin === 'array' ? `${bound} items` : String(bound)
}

function makeUnknownField (path: Fault['path'], key: string, value: unknown): Fault {
  const fields = listFields(path)
  return makeFault('unknown_field', 'is not a field', {
    path: [...path, key],
    expected: fields.length === 0 ? 'no such field' : `one of ${fields.join(', ')}`,
    found: formatFoundValue(findValue(value, [...path, key]))
  })
}

/** Returns the names of the fields that the schema has at a path. */
function listFields (path: Fault['path']): string[] {
  let schema: z.ZodType | undefined = findInnerSchema(documentSchema)
  for (const step of path) {
    if (schema instanceof z.ZodObject) schema = findInnerSchema(schema.shape[String(step)])
    else if (schema instanceof z.ZodRecord) schema = findInnerSchema(schema.valueType as z.ZodType)
  }
  return schema instanceof z.ZodObject ? Object.keys(schema.shape).sort() : []
}

function findInnerSchema (schema: z.ZodType | undefined): z.ZodType | undefined {
  let inner = schema
  while (inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault || inner instanceof z.ZodOptional) inner = inner.unwrap() as z.ZodType
  return inner
}
