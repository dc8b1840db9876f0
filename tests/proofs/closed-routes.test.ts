/**
 * P2 at acceptance: no accepted document refers to a service that is missing or deleted, at any moment, when
 * edits and deletions race, tools crash at any step, and writes arrive late. Guards against a check of one
 * object followed by a write of another, which accepts both sides of a race, and against closing marks and
 * referrer entries of crashed tools that block later edits.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { CRASH_OUTCOMES, LOSS_OUTCOMES, makeOperators, makeSchedule } from '../fixtures/operators.js'
import type { Job, Operators, ScheduleStep } from '../fixtures/operators.js'
import { readPropertyParameters } from '../fixtures/property.js'
import type { StoreCallOutcome } from '../fixtures/store.js'

const SERVICES = ['a', 'b', 'c'] as const

/** More steps than a racing edit and deletion make calls to the platform together. */
const MAX_STEPS = 24
const INTERLEAVINGS = 16

const anyService = fc.constantFrom<string>(...SERVICES)
const anyJob: fc.Arbitrary<Job> = fc.oneof(
  fc.record({ kind: fc.constant('apply' as const), service: anyService, needs: fc.uniqueArray(anyService, { maxLength: 2 }) })
    .map(job => ({ ...job, needs: job.needs.filter(name => name !== job.service) })),
  fc.record({ kind: fc.constant('remove' as const), service: anyService })
)
/** All jobs concern one reference, so that rare orders of a few steps are generated. */
const singleReferenceJob = fc.constantFrom<Job>(
  { kind: 'apply', service: 'a', needs: ['b'] },
  { kind: 'apply', service: 'a', needs: [] },
  { kind: 'apply', service: 'b', needs: [] },
  { kind: 'remove', service: 'b' }
)

interface Round { jobs: Job[], schedule: ScheduleStep[] }

function makeRounds (arbitraryJob: fc.Arbitrary<Job>): fc.Arbitrary<Round[]> {
  const round = fc.record({
    jobs: fc.array(arbitraryJob, { minLength: 1, maxLength: 3 }),
    schedule: makeSchedule([...CRASH_OUTCOMES, ...LOSS_OUTCOMES])
  })
  return fc.array(round, { minLength: 1, maxLength: 4 })
}

/** The oracle: each service that a present document refers to is present, and records its referrer against a later deletion. */
function checkConsistent (operators: Operators): void {
  const present = operators.readPresent()
  for (const [name, needs] of present) {
    for (const reference of needs) {
      if (!present.has(reference)) throw new Error(`${name} refers to ${reference}, which is missing`)
      if (!operators.hasReferrer(reference, name)) throw new Error(`${name} refers to ${reference}, which does not record this referrer`)
    }
  }
}

async function runRounds (rounds: readonly Round[]): Promise<Operators> {
  const failures: Error[] = []
  const operators = makeOperators(() => {
    try {
      checkConsistent(operators)
    } catch (error) {
      failures.push(error as Error)
    }
  })
  for (const name of SERVICES) await operators.run([{ kind: 'apply', service: name, needs: [] }])
  for (const { jobs, schedule } of rounds) await operators.run(jobs, schedule)
  if (failures[0] !== undefined) throw failures[0]
  return operators
}

async function expectAccepted (operators: Operators, job: Job): Promise<void> {
  const [report] = await operators.run([job])
  if (report?.result?.ok !== true) throw new Error(`${JSON.stringify(job)}: ${JSON.stringify(report?.result?.val)}`)
}

/** Ends a run that would never finish. The property itself has no time limit, and a run takes longer while the processor is busy. */
const PROPERTY_TIMEOUT_MS = 300_000

test.each([['of three services', anyJob, 600], ['of one reference', singleReferenceJob, 1750]])(
  'accepted documents %s are consistent at every write, and what crashed tools leave blocks no later edit', async (_name, arbitraryJob, runs) => {
    await fc.assert(fc.asyncProperty(makeRounds(arbitraryJob), async rounds => {
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
        const versions = operators.written.filter(edit => edit.service === name).map(edit => edit.version)
        expect(versions).toEqual([...versions].sort((left, right) => left - right))
      }
    }), readPropertyParameters(runs))
  }, PROPERTY_TIMEOUT_MS)

/** The bits of `interleaving` say whether the edit or the deletion makes the next call; the tool that runs at `crashStep` crashes. */
function makeCrashSchedule (crashStep: number, interleaving: number, crashOutcome: StoreCallOutcome): ScheduleStep[] {
  return Array.from({ length: MAX_STEPS }, (_, step) =>
    ({ pick: (interleaving >> (step % 4)) & 1, outcome: step === crashStep ? crashOutcome : 'ok', deliver: false }))
}

test('documents stay consistent when an edit and a deletion race and one crashes at any step, and both are accepted afterwards', async () => {
  for (let crashStep = 0; crashStep < MAX_STEPS; crashStep += 1) {
    for (let interleaving = 0; interleaving < INTERLEAVINGS; interleaving += 1) {
      for (const crashOutcome of CRASH_OUTCOMES) {
        const jobs: Job[] = [{ kind: 'apply', service: 'a', needs: ['b'] }, { kind: 'remove', service: 'b' }]
        const operators = await runRounds([{ jobs, schedule: makeCrashSchedule(crashStep, interleaving, crashOutcome) }])
        if (!operators.readPresent().has('b')) await expectAccepted(operators, { kind: 'apply', service: 'b', needs: [] })
        await expectAccepted(operators, { kind: 'apply', service: 'a', needs: ['b'] })
        await expectAccepted(operators, { kind: 'apply', service: 'a', needs: [] })
        await expectAccepted(operators, { kind: 'remove', service: 'b' })
      }
    }
  }
})
