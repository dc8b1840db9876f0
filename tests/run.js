/**
 * Runs jest and passes over the failures that KNOWN-RED.txt names, and no others; prints those.
 * An entry begins at the left margin with `FILE › GROUP › NAME OF THE TEST`, where a test outside any group has no GROUP.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, relative } from 'node:path'

const output = join(mkdtempSync(join(tmpdir(), 'comfreyspoke-test-')), 'result.json')
const env = { ...process.env, NODE_OPTIONS: '--experimental-vm-modules --disable-warning=ExperimentalWarning' }
const args = ['node_modules/jest/bin/jest.js', '--json', `--outputFile=${output}`, ...process.argv.slice(2)]
spawnSync(process.execPath, args, { env, stdio: ['ignore', 'ignore', 'inherit'] })

const result = JSON.parse(readFileSync(output, 'utf8'))
const listed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => /^tests\//.test(line)) : []
const failed = result.testResults.flatMap(file => {
  const name = relative(process.cwd(), file.name)
  const tests = file.assertionResults.filter(test => test.status === 'failed').map(test => [name, ...test.ancestorTitles, test.title].join(' › '))
  return file.status === 'failed' && tests.length === 0 ? [`${name} did not run`] : tests
})
const unknown = failed.filter(test => !listed.includes(test))
for (const test of failed) process.stdout.write(`${listed.includes(test) ? 'known red' : 'FAILED'}: ${test}\n`)
process.stdout.write(`${result.numPassedTests} passed, ${failed.length} failed\n`)
process.exit(unknown.length === 0 && result.numPassedTests > 0 ? 0 : 1)
