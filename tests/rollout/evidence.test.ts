/**
 * Guards against a test that calls a good version bad more often than stated, or that finds a bad one only after its 50th bad response.
 */
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../../src/core/index.js'
import { SequentialEvidence } from '../../src/rollout/index.js'
import type { Evidence, RouteCounts } from '../../src/rollout/index.js'
import { ResponseCounts } from '../../src/rollout/counts.js'

const LOOKS = 60
const RESPONSES_PER_LOOK = { earlier: 230, next: 20 } as const
const RUNS = 100

interface Rates { earlier: number, next: number, isSlow?: boolean }

/** Returns the first evidence that calls the version bad. */
function runTest ({ earlier, next, isSlow = false }: Rates, random: SeededRandom): Evidence | undefined {
  const counts = new ResponseCounts()
  const evidence = new SequentialEvidence()
  const rates = { earlier, next }
  for (let look = 0; look < LOOKS; look += 1) {
    for (const version of ['earlier', 'next'] as const) {
      for (let index = 0; index < RESPONSES_PER_LOOK[version]; index += 1) {
        const isBad = random.next() < rates[version]
        counts.record(`r${index % 2}`, version, isBad && !isSlow, 100 * (isBad && isSlow ? 4 : 1) * (0.6 + random.next()))
      }
    }
    const found = evidence.measure(new Map<string, RouteCounts>(Object.entries(counts.list())))
    if (found.judgement === 'bad') return found
  }
  return undefined
}

test.each<Rates>([
  { earlier: 0, next: 0 }, { earlier: 0.01, next: 0.01 }, { earlier: 0.05, next: 0.05 }, { earlier: 0.3, next: 0.3 },
  { earlier: 0.1, next: 0.1, isSlow: true }, { earlier: 0.002, next: 0.01 }
])('a version with the rates %j is not called bad', rates => {
  const random = new SeededRandom(1)
  const alarms = Array.from({ length: RUNS }, () => runTest(rates, random)).filter(found => found !== undefined).length
  // The stated rate is 0.0001 for each run.
  expect(alarms).toBeLessThanOrEqual(1)
})

test.each<Rates>([
  { earlier: 0.002, next: 0.05 }, { earlier: 0.002, next: 0.2 }, { earlier: 0.002, next: 1 }, { earlier: 0.05, next: 0.3 },
  { earlier: 0.02, next: 0.9, isSlow: true }
])('a version with the rates %j is called bad by its 50th bad response', rates => {
  const random = new SeededRandom(2)
  const found = Array.from({ length: RUNS }, () => runTest(rates, random))
  const bad = found.map(evidence => evidence?.bad ?? Infinity).sort((left, right) => left - right)
  console.log(JSON.stringify({ ...rates, median: bad[RUNS / 2], worst: bad.at(-1), missed: found.filter(evidence => evidence === undefined).length }))
  expect(bad[Math.floor(RUNS * 0.99)]).toBeLessThanOrEqual(50 + RESPONSES_PER_LOOK.next)
})
