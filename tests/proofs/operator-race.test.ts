/**
 * Operators race on one document: of edits on the same version exactly one is accepted, each
 * loser learns the version that won, and nobody's accepted edit is overwritten unseen. Guards
 * against an unconditional or wrongly conditioned write.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { LOSS_OUTCOMES, makeOperators, makeSchedule } from '../fixtures/operators.js'
import type { Operators, JobReport } from '../fixtures/operators.js'
import { readPropertyParameters } from '../fixtures/property.js'

function listAccepted (reports: readonly JobReport[]): number[] {
  return reports.flatMap(({ result }) => result?.ok === true ? [result.val.version] : [])
}

async function startWithDesk (): Promise<{ operators: Operators, version: number }> {
  const operators = makeOperators()
  await operators.run([{ kind: 'apply', service: 'gallery', needs: [] }])
  const [report] = await operators.run([{ kind: 'apply', service: 'desk', needs: [] }])
  return { operators, version: report?.result?.unwrap().version ?? 0 }
}

test('of edits on one version one is accepted, and the others name the version that won', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 2, max: 4 }), makeSchedule(LOSS_OUTCOMES), async (count, turns) => {
    const { operators, version } = await startWithDesk()
    const jobs = Array.from({ length: count }, () => ({ kind: 'apply' as const, service: 'desk', needs: ['gallery'], expected: version }))
    const reports = await operators.run(jobs, turns)
    const since = operators.written.filter(one => one.service === 'desk' && one.version > version)
    expect(since.length).toBeLessThanOrEqual(1)
    expect(listAccepted(reports).length).toBeLessThanOrEqual(1)
    for (const { result } of reports) {
      if (result?.ok === true) expect(result.val.version).toBe(since[0]?.version)
      else if (result?.val.code === 'conflict') expect(result.val.version).toBe(since[0]?.version)
    }
    const isUndisturbed = turns.every(turn => turn.outcome === 'ok')
    if (isUndisturbed) expect(listAccepted(reports)).toHaveLength(1)
  }), readPropertyParameters(400))
})

test('each accepted edit was written on the version that its tool had read', async () => {
  await fc.assert(fc.asyncProperty(makeSchedule(LOSS_OUTCOMES), makeSchedule(LOSS_OUTCOMES), async (first, second) => {
    const { operators } = await startWithDesk()
    const jobs = [0, 1, 2].map(() => ({ kind: 'apply' as const, service: 'desk', needs: [] }))
    await operators.run(jobs, first)
    await operators.run(jobs, second)
    const desk = operators.written.filter(one => one.service === 'desk')
    desk.slice(1).forEach(({ edit }, index) => {
      const before = desk[index]
      expect(edit.earlierEdits[0]).toEqual({ editId: before?.edit.editId, version: before?.version })
    })
  }), readPropertyParameters(200))
})
