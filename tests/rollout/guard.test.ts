/**
 * Guards against a node that sends requests to a version that is not allowed, and against messages and work where there is no rollout.
 */
import { expect, test } from '@jest/globals'
import type { Target } from '../../src/membership/index.js'
import { RolloutGuard } from '../../src/rollout/index.js'
import type { Rollout, RolloutState } from '../../src/rollout/index.js'
import { makeClock } from '../fixtures/clock.js'
import { BOUNDS } from '../fixtures/rollout.js'
import { makeTarget } from '../fixtures/target.js'

const SERVICE = 'desk'

interface GuardFixture {
  guard: RolloutGuard
  clock: ReturnType<typeof makeClock>
  setTargets: (targets: readonly Target[]) => void
  listVersions: () => Array<string | undefined>
}

function makeGuard (): GuardFixture {
  const clock = makeClock()
  let targets: readonly Target[] = []
  const guard = new RolloutGuard({ clock, bounds: BOUNDS, getTargets: () => targets })
  const listVersions = (): Array<string | undefined> => {
    const versions = new Set<string | undefined>()
    const call = guard.beginCall(SERVICE, targets)
    const find = (list: readonly Target[]): Target | undefined => {
      for (const { version } of list) versions.add(version)
      return list[0]
    }
    if (call === undefined) find(targets)
    else call.pick(find)
    return [...versions]
  }
  return { guard, clock, setTargets: next => { targets = next }, listVersions }
}

function makeVersion (version: string, startedAt: number, count = 2): Target[] {
  return Array.from({ length: count }, (_, index) => {
    const host = `${version}-${index}`
    return makeTarget({ host, id: `${host}/t`, version, startedAt: startedAt + index })
  })
}

function makeRollout (newVersion: string, state: RolloutState = 'running'): Rollout {
  return { service: SERVICE, newVersion, durationMs: 60_000, id: newVersion, revision: 5, state, hasStatus: true, ageMs: 0 }
}

function applyRollouts (guard: RolloutGuard, revision: number, rollouts: Rollout[]): boolean {
  return guard.apply({ position: { epoch: 1, revision }, rollouts })
}

test('without rollouts nothing is sent to peers, and a service with one version has no limits', () => {
  const { guard, setTargets, listVersions } = makeGuard()
  expect(applyRollouts(guard, 3, [])).toBe(false)
  expect([guard.makeExchangePart(), guard.exchange({}), guard.listRunning()]).toEqual([{}, {}, []])
  const targets = makeVersion('v1', 0)
  expect(guard.beginCall(SERVICE, targets)).toBeUndefined()
  setTargets(targets)
  expect(listVersions()).toEqual(['v1'])
})

test('the established version serves as long as it has targets, also when all of them have started again', () => {
  const { setTargets, listVersions } = makeGuard()
  setTargets([...makeVersion('v2', 20), ...makeVersion('v1', 10)])
  expect(listVersions()).toEqual(['v1'])
  setTargets([...makeVersion('v2', 20), ...makeVersion('v1', 90)])
  expect(listVersions()).toEqual(['v1'])
  setTargets([...makeVersion('v2', 20), ...makeVersion('v1', 90).map(target => ({ ...target, state: 'leaving' as const }))])
  expect(listVersions()).toEqual(['v2'])
})

test('an older set of rollouts, also of an earlier epoch of the store, changes nothing', () => {
  const { guard } = makeGuard()
  expect(applyRollouts(guard, 7, [makeRollout('v2')])).toBe(true)
  expect(applyRollouts(guard, 6, [])).toBe(false)
  expect(guard.apply({ position: { epoch: 0, revision: 900 }, rollouts: [] })).toBe(false)
  expect(guard.listRunning()).toHaveLength(1)
  expect(guard.apply({ position: { epoch: 2, revision: 1 }, rollouts: [] })).toBe(true)
  expect(guard.listRunning()).toHaveLength(0)
})

test('after the end only the version that the status names serves, and a later replacement of it serves at once', () => {
  const { guard, setTargets, listVersions } = makeGuard()
  const earlier = makeVersion('v1', 10)
  applyRollouts(guard, 7, [makeRollout('v2')])
  setTargets([...earlier, ...makeVersion('v2', 20)])
  expect(listVersions()).toEqual(['v1'])
  applyRollouts(guard, 8, [makeRollout('v2', 'completed')])
  expect(listVersions()).toEqual(['v2'])
  expect(guard.isClosed({ service: SERVICE, version: 'v1' })).toBe(true)
  setTargets(earlier)
  expect(listVersions()).toEqual([])
  const later = makeVersion('v3', 30)
  setTargets([...earlier, ...later])
  expect(listVersions()).toEqual(['v3'])
  expect(guard.isClosed({ service: SERVICE, version: 'v3' })).toBe(false)
})

test('a rollout of the only version that a service has leaves it in use, and one whose earlier targets have gone keeps to the share', () => {
  const { guard, setTargets, listVersions } = makeGuard()
  setTargets(makeVersion('v2', 20))
  applyRollouts(guard, 7, [makeRollout('v2')])
  expect(listVersions()).toEqual(['v2'])
  setTargets([...makeVersion('v1', 10), ...makeVersion('v2', 20)])
  expect(listVersions()).toEqual(['v1'])
  setTargets(makeVersion('v2', 20))
  expect(listVersions()).toEqual([])
})

test('a third version gets nothing during a rollout and after a rollback', () => {
  const { guard, setTargets, listVersions } = makeGuard()
  setTargets([...makeVersion('v1', 10), ...makeVersion('v2', 20), ...makeVersion('v3', 30)])
  applyRollouts(guard, 7, [makeRollout('v2')])
  expect(listVersions()).toEqual(['v1'])
  applyRollouts(guard, 8, [makeRollout('v2', 'rolled_back')])
  expect(listVersions()).toEqual(['v1'])
  expect([guard.isClosed({ service: SERVICE, version: 'v2' }), guard.isClosed({ service: SERVICE, version: 'v1' })]).toEqual([true, false])
})

test('a target gets a request for its predecessor only if its version serves', () => {
  const { guard, setTargets } = makeGuard()
  setTargets([...makeVersion('v1', 10), ...makeVersion('v2', 20)])
  expect([guard.isSuccessor({ service: SERVICE, version: 'v1' }), guard.isSuccessor({ service: SERVICE, version: 'v2' })]).toEqual([true, false])
  setTargets(makeVersion('v2', 20))
  expect(guard.isSuccessor({ service: SERVICE, version: 'v2' })).toBe(true)
})

test('the response of the coordinator counts from the time of the report, and a decision outlasts the coordinator', () => {
  const { guard, clock } = makeGuard()
  applyRollouts(guard, 7, [makeRollout('v2')])
  const getPhase = (): string | undefined => guard.find(SERVICE)?.phaseInForce
  const askedAt = clock.monotonic()
  clock.advance(3_000)
  guard.receivePhase(SERVICE, 'v2', 'canary', askedAt)
  expect(getPhase()).toBe('held')
  guard.receivePhase(SERVICE, 'v2', 'canary', clock.monotonic())
  expect(getPhase()).toBe('canary')
  guard.receivePhase(SERVICE, 'v2', 'back', clock.monotonic())
  clock.advance(60_000)
  guard.receivePhase(SERVICE, 'v2', 'switching', clock.monotonic())
  guard.receivePhase(SERVICE, 'v2', 'canary', clock.monotonic())
  expect(getPhase()).toBe('back')
})
