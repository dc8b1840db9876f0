/**
 * Guards against one request that crashes every target it reaches, through retries of this system or of
 * its caller, and against innocent requests that stay blocked because they were in flight beside it.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { makeFailure } from '../../src/core/index.js'
import { CrashTracker, TARGET_CRASHED } from '../../src/request/commands/crash.js'
import { receiveFingerprint, SuspectCall } from '../../src/request/commands/suspect.js'
import { CRASH_MARK_RETENTION_MS, addCrashMarks, MAX_SUSPECT_REQUESTS, SuspectTable } from '../../src/suspect/index.js'
import { makeClock } from '../fixtures/clock.js'
import { readPropertyParameters } from '../fixtures/property.js'
import { startZone, CRASHING_PATH } from '../fixtures/zone.js'
import type { TestZone } from '../fixtures/zone.js'

const NODES = 5
const INNOCENT = [0, 1, 2].map(number => `/availability?day=${number}`)

interface Round { poisonAt: number, innocent: Array<{ at: number, path: string }>, restart: boolean }

const anyRound: fc.Arbitrary<Round> = fc.record({
  poisonAt: fc.nat(NODES - 1),
  innocent: fc.array(fc.record({ at: fc.nat(NODES - 1), path: fc.constantFrom(...INNOCENT) }), { maxLength: 4 }),
  restart: fc.boolean()
})

/** Innocent requests are in flight when the poisonous one arrives; each caller sends until it is told that the request ran. */
async function runRound (zone: TestZone, round: Round): Promise<void> {
  const { targets } = zone
  targets.isPaused = true
  const innocent = round.innocent.map(async ({ at, path }) => await zone.send(at, path))
  await delay(3)
  const end = await zone.send(round.poisonAt, CRASHING_PATH)
  expect(end.status).not.toBe(200)
  targets.isPaused = false
  targets.respondToAll()
  await Promise.all(innocent)
  if (round.restart) targets.crashed.clear()
  await delay(2)
}

test('a request crashes at most two targets, and innocent ones run in the end', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyRound, { minLength: 1, maxLength: 5, size: 'max' }), async rounds => {
    const clock = makeClock()
    const zone = await startZone(NODES, clock)
    try {
      for (const round of rounds) await runRound(zone, round)
      expect(new Set(zone.targets.runs.get(CRASHING_PATH)).size).toBeLessThanOrEqual(2)
      await checkInnocent(zone)
      const before = zone.targets.runs.get(CRASHING_PATH)?.length
      const ends = await Promise.all(zone.nodes.map(async (_, index) => await zone.send(index, CRASHING_PATH)))
      if (new Set(zone.targets.runs.get(CRASHING_PATH)).size === 2) {
        expect(ends.every(({ verdict, code }) => verdict === 'not-run' && code === 'quarantined')).toBe(true)
        expect(zone.targets.runs.get(CRASHING_PATH)?.length).toBe(before)
      }
      clock.advance(CRASH_MARK_RETENTION_MS + 1)
      zone.targets.crashed.clear()
      for (const path of INNOCENT) expect(await zone.send(0, path)).toMatchObject({ status: 200 })
      expect((await zone.send(0, CRASHING_PATH)).verdict).toBe('may-have-run')
    } finally {
      await zone.stop()
    }
  }), readPropertyParameters(60))
})

/** A request with marks of only one crash is let through, and its completion clears the mark at all nodes. */
async function checkInnocent (zone: TestZone): Promise<void> {
  zone.targets.crashed.clear()
  for (const path of INNOCENT) {
    const { code } = await zone.send(0, path)
    await delay(2)
    if (code !== undefined) expect(code).toBe('quarantined')
    const counts = zone.nodes.map(({ state }) => state.suspects.listMarks().length)
    expect(new Set(counts).size).toBe(1)
  }
}

test('an innocent request beside one crash is not blocked anywhere', async () => {
  const zone = await startZone(NODES, makeClock())
  try {
    await runRound(zone, { poisonAt: 0, innocent: INNOCENT.map((path, at) => ({ at, path })), restart: true })
    for (const path of INNOCENT) expect(await zone.send(4, path)).toMatchObject({ status: 200 })
    await delay(5)
    expect(zone.nodes.map(({ state }) => new Set(state.suspects.listMarks().map(mark => mark.fingerprint)).size)).toEqual([1, 1, 1, 1, 1])
  } finally {
    await zone.stop()
  }
})

test('two requests under suspicion are not on one target at the same time', () => {
  const first = new SuspectTable(makeClock())
  const last = new SuspectTable(makeClock())
  const watch = new CrashTracker('host-1', last, async () => true)
  const [one, two] = INNOCENT.map(path => {
    const call = new SuspectCall(first, { request: 'r', service: 'desk', method: 'GET', path, hops: 0, noRetry: false, hasBody: false }, undefined)
    call.recordFailure('host-0/t', makeFailure('may-have-run', 502, TARGET_CRASHED, 'crashed'))
    return receiveFingerprint(last, call.makeHeaders())
  })
  const running = watch.beginRequest('t', one)
  expect(watch.beginRequest('t', two).val).toMatchObject({ verdict: 'not-run', code: 'suspect_waits' })
  expect(watch.beginRequest('other', two).ok).toBe(true)
  if (running.ok) running.val.finish()
  expect(watch.beginRequest('t', two).ok).toBe(true)
})

test('the number of kept marks is bounded', () => {
  const table = new SuspectTable(makeClock())
  for (let number = 0; number < MAX_SUSPECT_REQUESTS * 2; number += 1) {
    addCrashMarks(table, ['a', 'b', 'c'].map(target => ({ fingerprint: String(number), target, ageMs: 0 })))
  }
  expect(table.listMarks().length).toBe(MAX_SUSPECT_REQUESTS * 2)
})
