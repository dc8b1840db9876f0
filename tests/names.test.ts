/**
 * Guards against function names that do not begin with a verb of docs/verbs.md. With a verb, a reader can tell
 * functions that read from functions that change state.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect, test } from '@jest/globals'

const DECLARATION = /^(?:export )?(?:async )?function\*? ?\*? ?([a-z][A-Za-z]*)/gm
const METHOD = /^ {2}(?:(?:private|protected|override|static|abstract) )*(?:async )?(?:\* ?)?([a-z][A-Za-z]*) (?:<[^>]*> )?\(/gm
const EXCLUDED_WORDS = new Set(['constructor', 'if', 'for', 'while', 'switch', 'return'])
/** Names that an interface of a library or of the language prescribes. */
const PRESCRIBED_NAMES = new Set([
  'now', 'monotonic', 'next', 'abort', 'onRequestStart', 'onResponseStart', 'onResponseData', 'onResponseEnd', 'onResponseError'
])

function listSources (folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.ts')).map(name => join(folder, name))
}

function listVerbs (): Set<string> {
  const rows = readFileSync('docs/verbs.md', 'utf8').split('\n').filter(line => line.startsWith('| '))
  return new Set(rows.flatMap(row => (row.split('|')[1] ?? '').split(',').map(verb => verb.trim())))
}

function listMisnamed (file: string, verbs: ReadonlySet<string>): string[] {
  const text = readFileSync(file, 'utf8')
  const names = [DECLARATION, METHOD].flatMap(pattern => [...text.matchAll(pattern)].map(match => match[1] ?? ''))
  return names.filter(name => !EXCLUDED_WORDS.has(name) && !PRESCRIBED_NAMES.has(name) && !verbs.has(name.split(/[A-Z]/)[0] ?? '')).map(name => `${file}: ${name}`)
}

test('function names begin with a listed verb', () => {
  const verbs = listVerbs()
  const files = [...listSources('src'), ...listSources('standins')]
  expect(files.flatMap(file => listMisnamed(file, verbs))).toEqual([])
})
