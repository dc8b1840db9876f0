/**
 * What a tool says of an edit is true although answers are lost before or after the write took
 * effect, writes arrive late, and other operators go on. Guards against taking a lost answer, or
 * a conflict with one's own first attempt, for a refusal or an acceptance.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { LOSS_OUTCOMES, makeOperators, makeSchedule } from '../fixtures/operators.js'
import type { Job, Operators, JobReport } from '../fixtures/operators.js'
import { readPropertyParameters } from '../fixtures/property.js'

const job: fc.Arbitrary<Job> = fc.oneof(
  { weight: 3, arbitrary: fc.constant<Job>({ kind: 'apply', service: 'desk', needs: ['gallery'] }) },
  { weight: 1, arbitrary: fc.constant<Job>({ kind: 'apply', service: 'desk', needs: [] }) },
  { weight: 1, arbitrary: fc.constant<Job>({ kind: 'remove', service: 'desk' }) },
  { weight: 1, arbitrary: fc.constant<Job>({ kind: 'remove', service: 'gallery' }) }
)

/** The oracle is the list of all values that the platform ever held, late writes included. */
function expectTrue (operators: Operators, { job, author, result }: JobReport): void {
  const carriers = operators.written.filter(one => one.service === job.service && one.edit.author === author)
  if (result?.ok === true) {
    expect(carriers.map(one => one.version)).toContain(result.val.version)
    expect(new Set(carriers.map(one => one.edit.editId))).toEqual(new Set([result.val.editId]))
  } else if (result?.val.code !== 'unknown') {
    expect({ author, said: result?.val.code, written: carriers }).toEqual({ author, said: result?.val.code, written: [] })
  }
}

test('accepted means written, any refusal means never written, also later', async () => {
  await fc.assert(fc.asyncProperty(fc.array(job, { minLength: 1, maxLength: 4 }), makeSchedule(LOSS_OUTCOMES), async (jobs, turns) => {
    const operators = makeOperators()
    await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }])
    await operators.run([{ kind: 'apply', service: 'desk', needs: [] }])
    const reports = await operators.run(jobs, turns)
    for (const report of reports) expectTrue(operators, report)
  }), readPropertyParameters(600))
})

test('a write that is still on its way after the last attempt is not taken for a refusal', async () => {
  const lost = makeSchedule(['late', 'late', 'lose-request'])
  await fc.assert(fc.asyncProperty(fc.array(job, { minLength: 1, maxLength: 2 }), lost, async (jobs, turns) => {
    const operators = makeOperators()
    await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }, { kind: 'apply', service: 'desk', needs: [] }])
    for (const report of await operators.run(jobs, turns)) expectTrue(operators, report)
  }), readPropertyParameters(1500))
})

test('with answers to every call the outcome is always known', async () => {
  await fc.assert(fc.asyncProperty(fc.array(job, { minLength: 1, maxLength: 4 }), makeSchedule(['ok']), async (jobs, turns) => {
    const operators = makeOperators()
    await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }])
    await operators.run([{ kind: 'apply', service: 'desk', needs: [] }])
    for (const { result } of await operators.run(jobs, turns)) expect(result?.err === true && result.val.code === 'unknown').toBe(false)
  }), readPropertyParameters(100))
})
