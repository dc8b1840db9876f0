/**
 * Guards against a node that starts with an invalid setting, or reports it without its name.
 */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from '@jest/globals'
import { getRolloutBounds } from '../../platform/rollouts.js'
import { makeQuotaSettings, platformSettingsSchema } from '../../platform/settings.js'
import { readSettings } from '../../src/core/index.js'

function makeLines (): Record<string, string> {
  const address = '127.0.0.1:1'
  const addresses = ['target', 'store', 'caller', 'inbound', 'ready', 'control', 'peer', 'admin'].map(name => [name, address])
  return {
    host: 'h', zone: 'a', region: 'r', service: 'desk', heartbeat: '1500ms', grace: '6s', 'retry-ratio': '0.2', 'retry-extra': '64', 'retry-window': '10s', ...Object.fromEntries(addresses) as Record<string, string>
  }
}

function read (lines: Record<string, string>, variables: Record<string, string> = {}) {
  const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'node.settings')
  writeFileSync(file, ['# a comment', ...Object.entries(lines).map(([name, value]) => `${name}=${value}`)].join('\n'))
  return readSettings(platformSettingsSchema, { flags: {}, env: { COMFREYSPOKE_SETTINGS: file, ...variables } })
}

test('a settings file is read, with units, and unknown names are ignored', () => {
  expect(read({ ...makeLines(), later: '1' }).unwrap()).toMatchObject({ host: 'h', heartbeat: 1500, grace: 6000, 'retry-ratio': 0.2 })
})

const QUOTAS = { 'quota-window': '5s', 'quota-overage': '0.1', 'quota-slack': '20', zones: 'a:r,b:s' }

test('quotas are those of the deployment, with the region of each zone', () => {
  const expected = { windowMs: 5_000, overage: 0.1, slack: 20, zones: new Map([['a', 'r'], ['b', 's']]) }
  expect(makeQuotaSettings(read({ ...makeLines(), ...QUOTAS }).unwrap())).toEqual(expected)
})

test.each([[{}], [{ 'quota-window': '', 'quota-overage': '', 'quota-slack': '', zones: '' }], [{ zones: 'a:r' }]])('a deployment without quotas: %j', lines => {
  expect(makeQuotaSettings(read({ ...makeLines(), ...lines }).unwrap())).toBeUndefined()
})

/** The platform fills in the template, in which a field without a value is empty. */
test('the template has a line for each setting of quotas', () => {
  const lines = readFileSync('deploy/node.settings', 'utf8').split('\n')
  expect(lines).toEqual(expect.arrayContaining([
    'quota-window={{bounds.quotaWindow}}', 'quota-overage={{bounds.quotaOverage}}', 'quota-slack={{bounds.quotaSlack}}',
    'zones={{#zones}}{{@}}:{{.}}{{,}}{{/zones}}'
  ]))
})

test('bounds of rollouts that are missing or empty mean that there are none', () => {
  expect(getRolloutBounds(read(makeLines()).unwrap())).toBeUndefined()
  expect(getRolloutBounds(read({ ...makeLines(), 'expose-share': '', 'expose-slack': '', rollback: '' }).unwrap())).toBeUndefined()
  expect(getRolloutBounds(read({ ...makeLines(), 'expose-share': '0.1', 'expose-slack': '50', rollback: '5s' }).unwrap()))
    .toEqual({ exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 })
})

test('an environment variable takes precedence over the file', () => {
  expect(read(makeLines(), { COMFREYSPOKE_GRACE: '250ms' }).unwrap().grace).toBe(250)
})

test.each([
  ['grace', '6', 'setting --grace (COMFREYSPOKE_GRACE) is wrong: must be a length of time such as 250ms or 1.5s'],
  ['caller', 'here', 'setting --caller (COMFREYSPOKE_CALLER) is wrong: must be ip:port'],
  ['zones', 'a', 'setting --zones (COMFREYSPOKE_ZONES) is wrong: must be pairs such as zone-a:region-1, separated by commas'],
  ['quota-overage', 'much', 'setting --quota-overage (COMFREYSPOKE_QUOTA_OVERAGE) is wrong: Invalid input: expected number, received NaN'],
  ['service', '', 'setting --service (COMFREYSPOKE_SERVICE) is missing']
])('%s=%s is rejected with the name of the setting', (name, value, message) => {
  const rejected = read({ ...makeLines(), [name]: value })
  expect(rejected.err && rejected.val.message).toBe(message)
})

test('the error for an unreadable file contains its path', () => {
  const rejected = readSettings(platformSettingsSchema, { flags: {}, env: { COMFREYSPOKE_SETTINGS: '/nowhere/node.settings' } })
  expect(rejected.err && rejected.val.message).toContain('/nowhere/node.settings')
})
