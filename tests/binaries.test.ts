/**
 * Guards the built programs against imports that only Jest's module loader resolves, and against unclear errors: each
 * program must load in plain Node.js, print its help, and reject a wrong setting with one sentence.
 */
import { spawnSync } from 'node:child_process'
import { describe, expect, test } from '@jest/globals'

function runBinary (name: string, ...args: string[]): { code: number | null, stdout: string, stderr: string } {
  const { status, stdout, stderr } = spawnSync(process.execPath, [`dist/src/bin/${name}.js`, ...args], { encoding: 'utf8', env: { PATH: process.env.PATH } })
  return { code: status, stdout, stderr }
}

describe('programs', () => {
  test.each(['node', 'tool', 'check'])('%s prints its help', name => {
    const { code, stdout } = runBinary(name, '--help')
    expect(code).toBe(0)
    expect(stdout).toContain('comfreyspoke')
  })

  test('a missing setting ends the node with one sentence that names the setting', () => {
    const { code, stderr } = runBinary('node')
    expect(code).toBe(2)
    expect(stderr).toBe('comfreyspoke-node: setting --host (COMFREYSPOKE_HOST) is missing\n')
  })

  test('an invalid document is reported with the path of the field and exit code 1', () => {
    const { code, stderr } = runBinary('check', 'package.json')
    expect(code).toBe(1)
    expect(stderr).toContain('package.json: service: ')
  })

  test('a valid document passes', () => {
    const { code, stdout } = runBinary('check', 'examples/counter-desk.yaml')
    expect(stdout).toContain('valid document of counter-desk')
    expect(code).toBe(0)
  })
})
