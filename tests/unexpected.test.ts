/**
 * Guards against one unexpected error that ends the whole process, or that silently ends one of its tasks.
 */
import { spawnSync } from 'node:child_process'
import { pathToFileURL } from 'node:url'
import { expect, test } from '@jest/globals'
import { runSupervised } from '../src/node/tasks/supervised.js'
import { makeClock } from './fixtures/clock.js'

test('a task that fails is reported and started again', async () => {
  const ended = new AbortController()
  const reported: string[] = []
  const clock = makeClock()
  let starts = 0
  const run = async (): Promise<void> => {
    starts += 1
    if (starts === 3) ended.abort()
    else throw new Error(`error ${starts}`)
  }
  const supervised = runSupervised({ name: 'exchange', run }, clock, (origin, error) => { reported.push(`${origin}: ${String(error)}`) }, ended.signal)
  for (let round = 0; round < 5; round += 1) {
    await new Promise(resolve => { setImmediate(resolve) })
    clock.advance(1_000)
  }
  await supervised
  expect(reported).toEqual(['exchange: Error: error 1', 'exchange: Error: error 2'])
})

test('an error that nothing handles is reported, and the process goes on', () => {
  const module = pathToFileURL('dist/src/node/unexpected.js').href
  const script = `
    import { handleUnexpectedErrors } from ${JSON.stringify(module)}
    handleUnexpectedErrors((origin, error) => { console.log(origin + ' ' + error.message) })
    setTimeout(() => { throw new Error('thrown') }, 1)
    setTimeout(() => { void Promise.reject(new Error('rejected')) }, 20)
    setTimeout(() => { console.log('alive') }, 60)`
  const { stdout, status } = spawnSync(process.execPath, ['--input-type=module', '-e', script], { encoding: 'utf8', env: { ...process.env, NODE_OPTIONS: '' } })
  expect([stdout.trim().split('\n'), status]).toEqual([['process thrown', 'promise rejected', 'alive'], 0])
})
