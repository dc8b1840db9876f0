/**
 * Checks of documents: a bad one gets a fault that names the place, what was expected and what was found.
 */
import { describe, expect, test } from '@jest/globals'
import { checkDocument } from '../src/document/index.js'
import { makeDocument } from './fixtures/document.js'

function makeRaw (change: Record<string, unknown>): unknown {
  return { ...structuredClone(makeDocument()), ...change }
}

describe('checkDocument', () => {
  test('takes a valid document and fills defaults', () => {
    const checked = checkDocument({ service: 'desk', routes: {} })
    expect(checked.ok && checked.val.limits).toEqual({ slots: 6, connections: 130, queue: 12 })
  })

  test.each([
    ['a wrong type', { routes: { check: { methods: ['GET'], path: '/a', kind: 'idempotent', deadlineMs: 'soon' } } }, ['routes', 'check', 'deadlineMs'], '"soon"'],
    ['an unknown field', { owner: 'me' }, [], undefined],
    ['a bad name', { service: 'Counter Desk' }, ['service'], '"Counter Desk"'],
    ['a reference to itself', { needs: ['desk'] }, ['needs', 0], 'desk']
  ])('refuses %s with its path', (_name, change, path, found) => {
    const checked = checkDocument(makeRaw(change))
    if (checked.ok) throw new Error('a bad document passed')
    expect(checked.val[0]?.path).toEqual(path)
    if (found !== undefined) expect(checked.val[0]?.found).toBe(found)
  })

  test('refuses two routes that match the same requests', () => {
    const route = { methods: ['GET'], path: '/same', kind: 'idempotent', deadlineMs: 10 }
    const checked = checkDocument(makeRaw({ routes: { one: route, two: route } }))
    expect(checked.err && checked.val.map(fault => fault.code)).toEqual(['duplicate_match'])
  })
})
