/**
 * Guards against a request that runs with a key that no account has, and against a proper request that is called wrong.
 */
import { expect, test } from '@jest/globals'
import { AccountTable, authorizeRequest, hashKey } from '../../src/account/index.js'
import type { Account, Credential } from '../../src/account/index.js'

function makeAccount (name: string, ...keys: readonly string[]): Account {
  return { name, keyHashes: keys.map(hashKey), ratePerSecond: 0, burst: 0 }
}

function makeKey (key: string): Credential {
  return { kind: 'key', hash: hashKey(key) }
}

const accounts = new AccountTable(true, [makeAccount('press', 'k1', 'k2', 'shared'), makeAccount('museum', 'k3', 'shared'), makeAccount('closed')])

function authorize (credential: Credential, route: { public?: true } = {}, isOfRun = false, table = accounts): string {
  const result = authorizeRequest(table, { credential, route, isOfRun })
  return result.ok ? result.val?.name ?? 'no account' : `${result.val.status} ${result.val.code}`
}

test.each([
  ['each key of an account', makeKey('k2'), 'press'],
  ['a key that no account has', makeKey('k4'), '401 unknown_key'],
  ['a key that two accounts have', makeKey('shared'), '401 unknown_key'],
  ['an empty key', makeKey(''), '401 unknown_key'],
  ['credentials that cannot be read', { kind: 'invalid' } as const, '401 bad_credentials'],
  ['no key', { kind: 'none' } as const, '401 no_key']
])('a request with %s', (_name, credential, expected) => {
  expect(authorize(credential)).toBe(expected)
})

test('a public route needs no key, but a wrong key is refused there, too', () => {
  expect(authorize({ kind: 'none' }, { public: true })).toBe('no account')
  expect(authorize(makeKey('k1'), { public: true })).toBe('press')
  expect(authorize(makeKey('k4'), { public: true })).toBe('401 unknown_key')
})

test('a call of a target has no key and counts for no account, and one with a wrong key is refused', () => {
  expect(authorize({ kind: 'none' }, {}, true)).toBe('no account')
  expect(authorize(makeKey('k4'), {}, true)).toBe('401 unknown_key')
})

test('without accounts in force no request needs a key, and with an empty list of accounts all do', () => {
  expect(authorize({ kind: 'none' }, {}, false, new AccountTable(false))).toBe('no account')
  expect(authorize(makeKey('k1'), {}, false, new AccountTable(true, []))).toBe('401 unknown_key')
})
