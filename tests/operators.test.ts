/**
 * Guards against an outdated operators' page: the tool must accept its examples unchanged, and its
 * tables must name every field and exit code.
 */
import { readFileSync } from 'node:fs'
import { describe, expect, test } from '@jest/globals'
import { Random } from '../src/core/index.js'
import { destinationSchema, documentSchema, orderDocuments } from '../src/document/index.js'
import type { Document } from '../src/document/index.js'
import { resolveRoute } from '../src/request/queries/route.js'
import { EXIT } from '../src/tool/exit.js'
import { parseDocuments } from '../src/tool/load.js'
import { makeEntry } from './fixtures/entry.js'

const page = readFileSync('docs/operators/documents.md', 'utf8')
const examples = [...page.matchAll(/```yaml\n(.*?)```/gs)].map(match => match[1] ?? '')

function parseExample (text: string): Document[] {
  const parsed = parseDocuments('documents.md', text)
  if (parsed.err) throw new Error(JSON.stringify(parsed.val))
  return parsed.val
}

/** Returns the values in order, then 0. */
class ListedRandom extends Random {
  constructor (private readonly values: number[]) {
    super()
  }

  override next (): number {
    return this.values.shift() ?? 0
  }
}

describe('the documents page', () => {
  test.each(examples.map((text, index) => [index + 1, text] as const))('example %i is accepted by itself', (_number, text) => {
    expect(orderDocuments(parseExample(text), new Set()).ok).toBe(true)
  })

  test('names every field with its default and every exit code', () => {
    const { limits, retries, routes: _routes, ...rest } = documentSchema.shape
    const names = [
      ...Object.keys(rest), ...Object.keys(limits.unwrap().shape).map(name => `limits.${name}`), ...Object.keys(retries.unwrap().shape).map(name => `retries.${name}`),
      ...Object.keys(documentSchema.shape.routes.valueType.shape), ...Object.keys(destinationSchema.shape)
    ]
    for (const name of names) expect(page).toContain(`| \`${name}\` |`)
    for (const code of Object.values(EXIT)) expect(page).toMatch(new RegExp(`^\\| ${code} \\|`, 'm'))
  })

  test('two destinations of one service split calls by weight and select targets by label', () => {
    const document = parseExample(examples[3] ?? '')[0] as Document
    const entry = makeEntry('counter-desk', 1, { routes: document.routes })
    const targets = ['stable', 'trial'].map(ring => ({
      id: ring, service: 'counter-desk', host: ring, zone: 'z', region: 'r', inbound: '', address: '', slots: 6, connections: 130, labels: { ring }, state: 'ready' as const, lost: false
    }))
    const snapshot = { serial: 1, entries: new Map([['counter-desk', entry]]), targets: new Map([['counter-desk', targets]]) }
    const call = { service: 'counter-desk', method: 'GET', path: '/availability' } as Parameters<typeof resolveRoute>[1]
    const picked = [0, 0.94, 0.96].map(value => resolveRoute(snapshot, call, new ListedRandom([value])).unwrap())
    expect(picked.map(one => [one.service, one.targets.map(target => target.id)])).toEqual([
      ['counter-desk', ['stable']], ['counter-desk', ['stable']], ['counter-desk', ['trial']]
    ])
  })
})
