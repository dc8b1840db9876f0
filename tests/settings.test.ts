/**
 * Guards against node settings with the wrong precedence, error messages that do not name the invalid
 * setting or that contain its value (it may be a secret), and an outdated operators' page of settings.
 */
import { readFileSync } from 'node:fs'
import { describe, expect, test } from '@jest/globals'
import { formatEnvironmentVariable, readSettings } from '../src/core/index.js'
import { nativeSettingsSchema } from '../src/program/index.js'

function makeFlags (change: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    host: 'host-1',
    zone: 'a',
    region: 'r',
    platform: 'http://127.0.0.1:9000',
    caller: '127.0.0.1:7400',
    inbound: '127.0.0.1:7401',
    peer: '127.0.0.1:7402',
    ...change
  }
}

describe('settings', () => {
  test('a flag overrides its environment variable', () => {
    const env = { COMFREYSPOKE_DRAIN_TIMEOUT: '5', COMFREYSPOKE_LOCAL: '127.0.0.1:7409' }
    const settings = readSettings(nativeSettingsSchema, { flags: makeFlags({ 'drain-timeout': '3' }), env }).unwrap()
    expect([settings['drain-timeout'], settings.local]).toEqual([3, '127.0.0.1:7409'])
  })

  test.each([
    ['zone', undefined, 'setting --zone (COMFREYSPOKE_ZONE) is missing'],
    ['peer', 'host:port', 'setting --peer (COMFREYSPOKE_PEER) is wrong: must be ip:port'],
    ['local', '1.2.3.4:1,x', 'setting --local (COMFREYSPOKE_LOCAL) is wrong: must be ip:port']
  ])('an invalid --%s is reported by name', (name, value, message) => {
    const settings = readSettings(nativeSettingsSchema, { flags: makeFlags({ [name]: value }), env: {} })
    expect(settings.err && settings.val.message).toBe(message)
  })

  test('the operators\' page lists every setting with its environment variable', () => {
    const rows = readFileSync('docs/operators/settings.md', 'utf8').split('\n').filter(line => line.startsWith('| `--'))
    const listed = rows.map(row => row.split('|').slice(1, 3).map(cell => cell.trim().replaceAll('`', '')))
    const own = Object.keys(nativeSettingsSchema.shape).map(name => [`--${name}`, formatEnvironmentVariable(name)])
    expect(listed).toEqual(own)
  })
})
