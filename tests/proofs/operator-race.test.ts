/**
 * Operators edit one document concurrently: of the edits based on the same version exactly one is accepted, each rejected
 * edit reports the version that was accepted, and no accepted edit is overwritten by a tool that has not read it.
 * Guards against a write without a version condition or with a wrong one.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { LOSS_OUTCOMES, makeOperators, makeSchedule } from '../fixtures/operators.js'
import type { Operators, JobReport } from '../fixtures/operators.js'
import { readPropertyParameters } from '../fixtures/property.js'

function listAcceptedVersions (reports: readonly JobReport[]): number[] {
  return reports.flatMap(({ result }) => result?.ok === true ? [result.val.version] : [])
}

async function startWithDesk (): Promise<{ operators: Operators, version: number }> {
  const operators = makeOperators()
  await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }])
  const [report] = await operators.run([{ kind: 'apply', service: 'desk', needs: [] }])
  return { operators, version: report?.result?.unwrap().version ?? 0 }
}

test('of the edits based on one version one is accepted, and the others report the accepted version', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 2, max: 4 }), makeSchedule(LOSS_OUTCOMES), async (editCount, schedule) => {
    const { operators, version } = await startWithDesk()
    const jobs = Array.from({ length: editCount }, () => ({ kind: 'apply' as const, service: 'desk', needs: ['gallery'], expected: version }))
    const reports = await operators.run(jobs, schedule)
    const laterEdits = operators.written.filter(edit => edit.service === 'desk' && edit.version > version)
    expect(laterEdits.length).toBeLessThanOrEqual(1)
    expect(listAcceptedVersions(reports).length).toBeLessThanOrEqual(1)
    for (const { result } of reports) {
      if (result?.ok === true) expect(result.val.version).toBe(laterEdits[0]?.version)
      else if (result?.val.code === 'conflict') expect(result.val.version).toBe(laterEdits[0]?.version)
    }
    const hasNoFaults = schedule.every(step => step.outcome === 'ok')
    if (hasNoFaults) expect(listAcceptedVersions(reports)).toHaveLength(1)
  }), readPropertyParameters(400))
})

test('each accepted edit replaces the version that its tool had read', async () => {
  await fc.assert(fc.asyncProperty(makeSchedule(LOSS_OUTCOMES), makeSchedule(LOSS_OUTCOMES), async (firstSchedule, secondSchedule) => {
    const { operators } = await startWithDesk()
    const jobs = [0, 1, 2].map(() => ({ kind: 'apply' as const, service: 'desk', needs: [] }))
    await operators.run(jobs, firstSchedule)
    await operators.run(jobs, secondSchedule)
    const deskEdits = operators.written.filter(edit => edit.service === 'desk')
    deskEdits.slice(1).forEach(({ edit }, index) => {
      const previous = deskEdits[index]
      expect(edit.earlierEdits[0]).toEqual({ editId: previous?.edit.editId, version: previous?.version })
    })
  }), readPropertyParameters(200))
})
