/**
 * Guards against a request that crashes every target it reaches, through retries by the nodes or by its caller,
 * and against unrelated requests that stay blocked because they were in flight on a target when it crashed.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { makeFailure } from '../../src/core/index.js'
import { CrashTracker, TARGET_CRASHED } from '../../src/request/commands/crash.js'
import { receiveFingerprint, SuspectCall } from '../../src/request/commands/suspect.js'
import { CRASH_MARK_RETENTION_MS, addCrashMarks, MAX_SUSPECT_REQUESTS, SuspectTable } from '../../src/suspect/index.js'
import { makeClock } from '../fixtures/clock.js'
import type { ManualClock } from '../fixtures/clock.js'
import { readPropertyParameters } from '../fixtures/property.js'
import { startZone, CRASHING_PATH } from '../fixtures/zone.js'
import type { TestZone } from '../fixtures/zone.js'

const NODES = 5
const UNRELATED_PATHS = [0, 1, 2].map(number => `/availability?day=${number}`)

interface Round { crashingNodeIndex: number, unrelated: Array<{ nodeIndex: number, path: string }>, restart: boolean }

const anyRound: fc.Arbitrary<Round> = fc.record({
  crashingNodeIndex: fc.nat(NODES - 1),
  unrelated: fc.array(fc.record({ nodeIndex: fc.nat(NODES - 1), path: fc.constantFrom(...UNRELATED_PATHS) }), { maxLength: 4 }),
  restart: fc.boolean()
})

/** A change of a mark is known to all nodes within a second: it goes to the node that set the mark, and from there to all others. */
async function spreadMarks (clock: ManualClock): Promise<void> {
  for (let step = 0; step < 2; step += 1) {
    clock.advance(500)
    await delay(3)
  }
}

/** Unrelated requests are in flight when the crashing request arrives. */
async function runRound (zone: TestZone, clock: ManualClock, round: Round): Promise<void> {
  const { targets } = zone
  targets.isPaused = true
  const unrelated = round.unrelated.map(async ({ nodeIndex, path }) => await zone.send(nodeIndex, path))
  await delay(3)
  const response = await zone.send(round.crashingNodeIndex, CRASHING_PATH)
  expect(response.status).not.toBe(200)
  targets.isPaused = false
  targets.respondToAll()
  await Promise.all(unrelated)
  if (round.restart) targets.crashed.clear()
  await spreadMarks(clock)
}

test('a request crashes at most two targets, and unrelated requests run in the end', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyRound, { minLength: 1, maxLength: 5, size: 'max' }), async rounds => {
    const clock = makeClock()
    const zone = await startZone(NODES, clock)
    try {
      for (const round of rounds) await runRound(zone, clock, round)
      expect(new Set(zone.targets.runs.get(CRASHING_PATH)).size).toBeLessThanOrEqual(2)
      await checkUnrelated(zone, clock)
      const runsBefore = zone.targets.runs.get(CRASHING_PATH)?.length
      const responses = await Promise.all(zone.nodes.map(async (_, index) => await zone.send(index, CRASHING_PATH)))
      if (new Set(zone.targets.runs.get(CRASHING_PATH)).size === 2) {
        expect(responses.every(({ verdict, code }) => verdict === 'not-run' && code === 'quarantined')).toBe(true)
        expect(zone.targets.runs.get(CRASHING_PATH)?.length).toBe(runsBefore)
      }
      clock.advance(CRASH_MARK_RETENTION_MS + 1)
      zone.targets.crashed.clear()
      for (const path of UNRELATED_PATHS) expect(await zone.send(0, path)).toMatchObject({ status: 200 })
      expect((await zone.send(0, CRASHING_PATH)).verdict).toBe('may-have-run')
    } finally {
      await zone.stop()
    }
  }), readPropertyParameters(60))
})

/** A request with marks of only one crash is admitted, and its completion clears the mark on all nodes. */
async function checkUnrelated (zone: TestZone, clock: ManualClock): Promise<void> {
  zone.targets.crashed.clear()
  for (const path of UNRELATED_PATHS) {
    const { code } = await zone.send(0, path)
    await spreadMarks(clock)
    if (code !== undefined) expect(code).toBe('quarantined')
    const counts = zone.nodes.map(({ state }) => state.suspects.listMarks().length)
    expect(new Set(counts).size).toBe(1)
  }
}

test('an unrelated request in flight during one crash is not blocked on any node', async () => {
  const clock = makeClock()
  const zone = await startZone(NODES, clock)
  try {
    await runRound(zone, clock, { crashingNodeIndex: 0, unrelated: UNRELATED_PATHS.map((path, nodeIndex) => ({ nodeIndex, path })), restart: true })
    for (const path of UNRELATED_PATHS) expect(await zone.send(4, path)).toMatchObject({ status: 200 })
    await spreadMarks(clock)
    expect(zone.nodes.map(({ state }) => new Set(state.suspects.listMarks().map(mark => mark.fingerprint)).size)).toEqual([1, 1, 1, 1, 1])
  } finally {
    await zone.stop()
  }
})

test('two suspect requests do not run on one target at the same time', () => {
  const callerSide = new SuspectTable(makeClock())
  const targetSide = new SuspectTable(makeClock())
  const tracker = new CrashTracker('host-1', targetSide, async () => true)
  const [firstFingerprint, secondFingerprint] = UNRELATED_PATHS.map(path => {
    const call = new SuspectCall(
      callerSide, { request: 'r', service: 'desk', method: 'GET', path, hops: 0, noRetry: false, hasBody: false }, undefined)
    call.recordFailure('host-0/t', makeFailure('may-have-run', 502, TARGET_CRASHED, 'crashed'))
    return receiveFingerprint(targetSide, call.makeHeaders('host-1'))
  })
  const running = tracker.beginRequest('t', firstFingerprint)
  expect(tracker.beginRequest('t', secondFingerprint).val).toMatchObject({ verdict: 'not-run', code: 'suspect_waits' })
  expect(tracker.beginRequest('other', secondFingerprint).ok).toBe(true)
  if (running.ok) running.val.finish()
  expect(tracker.beginRequest('t', secondFingerprint).ok).toBe(true)
})

test('the number of stored crash marks is bounded', () => {
  const table = new SuspectTable(makeClock())
  for (let number = 0; number < MAX_SUSPECT_REQUESTS * 2; number += 1) {
    addCrashMarks(table, ['a', 'b', 'c'].map(target => ({ fingerprint: String(number), target, ageMs: 0 })))
  }
  expect(table.listMarks().length).toBe(MAX_SUSPECT_REQUESTS * 2)
})
