/**
 * The result that a tool reports for an edit is true although responses are lost before or after the write
 * takes effect, writes arrive late, and other operators continue to edit. Guards against a lost response, or a
 * conflict with the tool's own first attempt, that is reported as a rejection or an acceptance.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { LOSS_OUTCOMES, makeOperators, makeSchedule } from '../fixtures/operators.js'
import type { Job, Operators, JobReport } from '../fixtures/operators.js'
import { readPropertyParameters } from '../fixtures/property.js'

const anyJob: fc.Arbitrary<Job> = fc.oneof(
  { weight: 3, arbitrary: fc.constant<Job>({ kind: 'apply', service: 'desk', needs: ['gallery'] }) },
  { weight: 1, arbitrary: fc.constant<Job>({ kind: 'apply', service: 'desk', needs: [] }) },
  { weight: 1, arbitrary: fc.constant<Job>({ kind: 'remove', service: 'desk' }) },
  { weight: 1, arbitrary: fc.constant<Job>({ kind: 'remove', service: 'gallery' }) }
)

/** The oracle is the list of all values that the platform ever stored, including late writes. */
function expectTrueReport (operators: Operators, { job, author, result }: JobReport): void {
  const writtenEdits = operators.written.filter(written => written.service === job.service && written.edit.author === author)
  if (result?.ok === true) {
    expect(writtenEdits.map(written => written.version)).toContain(result.val.version)
    expect(new Set(writtenEdits.map(written => written.edit.editId))).toEqual(new Set([result.val.editId]))
  } else if (result?.val.code !== 'unknown') {
    expect({ author, reported: result?.val.code, written: writtenEdits }).toEqual({ author, reported: result?.val.code, written: [] })
  }
}

test('an accepted edit was written, and a rejected edit is never written, not even later', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyJob, { minLength: 1, maxLength: 4 }), makeSchedule(LOSS_OUTCOMES), async (jobs, schedule) => {
    const operators = makeOperators()
    await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }])
    await operators.run([{ kind: 'apply', service: 'desk', needs: [] }])
    const reports = await operators.run(jobs, schedule)
    for (const report of reports) expectTrueReport(operators, report)
  }), readPropertyParameters(600))
})

test('a write that is still in transit after the last attempt is not reported as rejected', async () => {
  const anyLossSchedule = makeSchedule(['late', 'late', 'lose-request'])
  await fc.assert(fc.asyncProperty(fc.array(anyJob, { minLength: 1, maxLength: 2 }), anyLossSchedule, async (jobs, schedule) => {
    const operators = makeOperators()
    await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }, { kind: 'apply', service: 'desk', needs: [] }])
    for (const report of await operators.run(jobs, schedule)) expectTrueReport(operators, report)
  }), readPropertyParameters(1500))
})

test('when every call gets a response, the outcome is always known', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyJob, { minLength: 1, maxLength: 4 }), makeSchedule(['ok']), async (jobs, schedule) => {
    const operators = makeOperators()
    await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }])
    await operators.run([{ kind: 'apply', service: 'desk', needs: [] }])
    for (const { result } of await operators.run(jobs, schedule)) expect(result?.err === true && result.val.code === 'unknown').toBe(false)
  }), readPropertyParameters(100))
})
