/**
 * P2 at acceptance: no accepted document refers to a service that is missing or deleted, at any
 * moment, when edits and deletions race, tools crash at any step, and writes arrive late. Guards
 * against a check of one object followed by a write of another, which lets both sides of a race
 * pass, and against marks and entries of crashed tools that hold up later edits.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { CRASH_OUTCOMES, LOSS_OUTCOMES, makeOperators, makeSchedule } from '../fixtures/operators.js'
import type { Job, Operators, ScheduleStep } from '../fixtures/operators.js'
import { readPropertyParameters } from '../fixtures/property.js'
import type { StoreCallOutcome } from '../fixtures/store.js'

const SERVICES = ['a', 'b', 'c'] as const

/** More than an edit and a deletion that race have calls to the platform together. */
const MAX_STEPS = 24
const ORDERS = 16

const service = fc.constantFrom<string>(...SERVICES)
const job: fc.Arbitrary<Job> = fc.oneof(
  fc.record({ kind: fc.constant('apply' as const), service, needs: fc.uniqueArray(service, { maxLength: 2 }) })
    .map(one => ({ ...one, needs: one.needs.filter(name => name !== one.service) })),
  fc.record({ kind: fc.constant('remove' as const), service })
)
/** All about one reference, so that rare orders of few steps come up. */
const narrowJob = fc.constantFrom<Job>(
  { kind: 'apply', service: 'a', needs: ['b'] },
  { kind: 'apply', service: 'a', needs: [] },
  { kind: 'apply', service: 'b', needs: [] },
  { kind: 'remove', service: 'b' }
)

interface Round { jobs: Job[], turns: ScheduleStep[] }

function makeRounds (one: fc.Arbitrary<Job>): fc.Arbitrary<Round[]> {
  const round = fc.record({ jobs: fc.array(one, { minLength: 1, maxLength: 3 }), turns: makeSchedule([...CRASH_OUTCOMES, ...LOSS_OUTCOMES]) })
  return fc.array(round, { minLength: 1, maxLength: 4 })
}

/** The oracle: every present document's references are present, and recorded against a later deletion. */
function checkClosed (operators: Operators): void {
  const present = operators.readPresent()
  for (const [name, needs] of present) {
    for (const need of needs) {
      if (!present.has(need)) throw new Error(`${name} refers to ${need}, which is not there`)
      if (!operators.hasReferrer(need, name)) throw new Error(`${name} refers to ${need}, which does not know`)
    }
  }
}

async function runRounds (rounds: readonly Round[]): Promise<Operators> {
  const failures: Error[] = []
  const operators = makeOperators(() => {
    try {
      checkClosed(operators)
    } catch (error) {
      failures.push(error as Error)
    }
  })
  for (const name of SERVICES) await operators.run([{ kind: 'apply', service: name, needs: [] }])
  for (const { jobs, turns } of rounds) await operators.run(jobs, turns)
  if (failures[0] !== undefined) throw failures[0]
  return operators
}

async function expectAccepted (operators: Operators, job: Job): Promise<void> {
  const [report] = await operators.run([job])
  if (report?.result?.ok !== true) throw new Error(`${JSON.stringify(job)}: ${JSON.stringify(report?.result?.val)}`)
}

/** Against a run that never ends; the promise has no bound in time, and the runs take as long as the processor is busy elsewhere. */
const PROPERTY_LIMIT_MS = 300_000

test.each([['of three services', job, 600], ['of one reference', narrowJob, 1750]])(
  'accepted documents %s are closed at every write, and what crashed tools left holds nobody up', async (_name, one, runs) => {
    await fc.assert(fc.asyncProperty(makeRounds(one), async rounds => {
      const operators = await runRounds(rounds)
      for (const name of SERVICES) {
        if (!operators.readPresent().has(name)) await expectAccepted(operators, { kind: 'apply', service: name, needs: [] })
      }
      for (const name of SERVICES) await expectAccepted(operators, { kind: 'apply', service: name, needs: [] })
      await expectAccepted(operators, { kind: 'apply', service: 'a', needs: ['b', 'c'] })
      await expectAccepted(operators, { kind: 'remove', service: 'a' })
      for (const name of ['b', 'c']) await expectAccepted(operators, { kind: 'remove', service: name })
      for (const name of SERVICES) await expectAccepted(operators, { kind: 'apply', service: name, needs: [] })
      for (const name of SERVICES) {
        const versions = operators.written.filter(one => one.service === name).map(one => one.version)
        expect(versions).toEqual([...versions].sort((left, right) => left - right))
      }
    }), readPropertyParameters(runs))
  }, PROPERTY_LIMIT_MS)

/** The edit and the deletion take turns as the bits of `order` say, and one of them crashes at step `at`. */
function makeCrashTurns (at: number, order: number, fate: StoreCallOutcome): ScheduleStep[] {
  return Array.from({ length: MAX_STEPS }, (_, step) => ({ pick: (order >> (step % 4)) & 1, outcome: step === at ? fate : 'ok', deliver: false }))
}

test('an edit and a deletion that race stay closed with a crash at each step, and both can be done afterwards', async () => {
  for (let at = 0; at < MAX_STEPS; at += 1) {
    for (let order = 0; order < ORDERS; order += 1) {
      for (const fate of CRASH_OUTCOMES) {
        const jobs: Job[] = [{ kind: 'apply', service: 'a', needs: ['b'] }, { kind: 'remove', service: 'b' }]
        const operators = await runRounds([{ jobs, turns: makeCrashTurns(at, order, fate) }])
        if (!operators.readPresent().has('b')) await expectAccepted(operators, { kind: 'apply', service: 'b', needs: [] })
        await expectAccepted(operators, { kind: 'apply', service: 'a', needs: ['b'] })
        await expectAccepted(operators, { kind: 'apply', service: 'a', needs: [] })
        await expectAccepted(operators, { kind: 'remove', service: 'b' })
      }
    }
  }
})
