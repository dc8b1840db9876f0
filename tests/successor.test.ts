/**
 * Guards against rejections of requests that name the previous process of a target. After a power loss of many hosts every target has a
 * new name, which the other nodes learn later than they send requests. A successor of another service, or one that a route may have
 * excluded by its labels, must not get such a request.
 */
import { describe, expect, test } from '@jest/globals'
import { makeFailure } from '../src/core/index.js'
import { announcementSchema, LocalHost, registerTarget } from '../src/membership/index.js'
import { LocalTargets } from '../src/request/index.js'
import { SuspectCall } from '../src/request/commands/suspect.js'
import { TARGET_CRASHED } from '../src/request/commands/crash.js'
import { addCrashMarks, SuspectTable } from '../src/suspect/index.js'
import { makeClock } from './fixtures/clock.js'

const ADDRESS = '127.0.0.1:9000'

function makeLocalTargets (...announcements: ReadonlyArray<Record<string, unknown>>) {
  const localHost = new LocalHost({ host: 'h1', zone: 'a', region: 'r', inbound: '', peer: '', admin: '', incarnation: 1 })
  for (const announcement of announcements) registerTarget(localHost, announcementSchema.parse({ service: 'desk', address: ADDRESS, slots: 2, ...announcement }), 0)
  const local = new LocalTargets(localHost, () => ({ serial: 0, entries: new Map(), targets: new Map() }), makeClock())
  const admit = async (requested: string, service = 'desk') => {
    const target = local.resolveTarget(requested, service)
    return await local.admit({ target, routeClass: 'normal', leftMs: 100, signal: new AbortController().signal })
  }
  return { admit }
}

describe('a request that names a target which this host no longer has', () => {
  test('gets a slot of the successor of the same service', async () => {
    const admitted = await makeLocalTargets({ target: 'new' }).admit('old')
    expect(admitted.ok && admitted.val.announcement.target).toBe('new')
  })

  test.each([
    ['of another service', [{ target: 'new', service: 'gallery' }]],
    ['with labels', [{ target: 'new', labels: { version: 'v2' } }]],
    ['among two targets of the service', [{ target: 'new' }, { target: 'newer' }]]
  ])('is rejected as not run by a successor %s', async (_case, announcements) => {
    expect((await makeLocalTargets(...announcements).admit('old')).val).toMatchObject({ verdict: 'not-run', code: 'no_target' })
  })

  test('is rejected as not run by a successor that is leaving', async () => {
    expect((await makeLocalTargets({ target: 'new', state: 'leaving' }).admit('old')).val).toMatchObject({ verdict: 'not-run', code: 'leaving' })
  })
})

test('the crash of a successor counts once for the request that named its predecessor', () => {
  const suspects = new SuspectTable(makeClock())
  const call = new SuspectCall(suspects, { method: 'POST', path: '/write', service: 'desk', caller: 'gallery', key: undefined } as never, Buffer.from('x'))
  call.recordFailure('h1/old', { ...makeFailure('may-have-run', 502, TARGET_CRASHED, 'crashed'), target: 'new' })
  const [mark] = suspects.listMarks()
  addCrashMarks(suspects, [{ fingerprint: mark?.fingerprint ?? '', target: 'h1/new', ageMs: 0 }], 'h1')
  expect(suspects.listTargets(mark?.fingerprint ?? '')).toEqual(['h1/new'])
  expect(call.reject()).toBeUndefined()
})
