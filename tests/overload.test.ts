/**
 * Guards against overload in which slots are spent on responses that come late or on runs that fail, with the loads of two deployments
 * at 1.0, 1.7 and 2.5 times their usual rate: T with competing accounts and nested calls, C with machines that other workloads share.
 * With OVERLOAD_TABLE=1 the test prints in time / late / refused / failed for each kind and class.
 */
import { expect, test } from '@jest/globals'
import { ExpectedWaitAdmissionPolicy, LeastDelayPicker, SharedRoomEntryPolicy, SlotLimiter, WorkControl, WorkLimiter, WorkPicker } from '../src/request/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeDeploymentC, makeDeploymentT, runOverload } from './fixtures/overload.js'
import type { Counts, Deployment, Outcome, OverloadResult } from './fixtures/overload.js'

const QUEUE = 12
/** The estimates of machines that change all the time need some seconds until the policies can be compared. */
const SECONDS = { T: 3, C: 8 } as const
const OUTCOMES = ['inTime', 'late', 'refused', 'failed'] as const

async function runPolicy (name: keyof typeof SECONDS, rate: number, hasPolicy: boolean): Promise<OverloadResult> {
  const clock = makeClock()
  const deployment: Deployment = name === 'T' ? makeDeploymentT() : makeDeploymentC()
  const result = await runOverload({
    clock,
    deployment,
    rate,
    seconds: SECONDS[name],
    makeNode: (target, random) => {
      const limits = { slots: target.slots, queue: QUEUE }
      const admission = new ExpectedWaitAdmissionPolicy()
      if (!hasPolicy) {
        const picker = new LeastDelayPicker(target, clock, random)
        return { picker, limiter: new SlotLimiter(limits, clock, admission), control: undefined, entry: undefined }
      }
      const control = new WorkControl(() => true)
      const entry = new SharedRoomEntryPolicy(clock, random)
      const limiter = new WorkLimiter(limits, clock, admission, target.id, control)
      return { picker: new WorkPicker(target, clock, random, control), limiter, control, entry }
    }
  })
  if (process.env.OVERLOAD_TABLE !== undefined) process.stderr.write(formatTable(`${name} rate ${rate} ${hasPolicy ? 'by expected time' : 'present'}`, result))
  return result
}

function computeShare (counts: Counts, ...outcomes: Outcome[]): number {
  return outcomes.reduce((sum, outcome) => sum + counts[outcome], 0) / OUTCOMES.reduce((sum, outcome) => sum + counts[outcome], 0)
}

function formatTable (title: string, { kinds, classes, value, wastedRuns, attempts }: OverloadResult): string {
  const rows = [...Object.entries(kinds), ...Object.entries(classes).filter(([, counts]) => counts.inTime > 0)]
    .map(([name, counts]) => `${name} ${OUTCOMES.map(outcome => computeShare(counts, outcome).toFixed(2)).join('/')}`)
  return `${title}: value ${value.toFixed(0)}, wasted runs ${wastedRuns}, attempts ${attempts}; ${rows.join('; ')}\n`
}

/** `minGain` is the least value relative to that of the present policy. */
test.each([[1, 0.98], [1.7, 1.02], [2.5, 1.02]])('at %f times the usual rate of T, runs do not fail for their nested calls, and no class starves', async (rate, minGain) => {
  const present = await runPolicy('T', rate, false)
  const result = await runPolicy('T', rate, true)
  expect(result.value).toBeGreaterThan(present.value * minGain)
  expect(result.wastedRuns).toBeLessThan(Math.max(20, present.wastedRuns / 4))
  const { critical, normal, bulk } = result.classes
  const [first, second, third] = [critical, normal, bulk].map(counts => computeShare(counts, 'inTime', 'late')) as [number, number, number]
  expect(second - first).toBeLessThan(0.05)
  expect(third - second).toBeLessThan(0.05)
  expect(third).toBeGreaterThan((first + 2 * second + third) / 4 / 4)
  // Requests that no target has room for are refused near their caller.
  if (rate > 2) expect(result.attempts).toBeLessThan(present.attempts * 0.9)
}, 120_000)

/** `maxLate` is the largest share of late responses relative to that of the present policy. */
test.each([[1, 0.98, 1.1], [1.7, 1, 0.7], [2.5, 1, 0.7]])('at %f times the usual rate of C, fewer slots go to late responses', async (rate, minGain, maxLate) => {
  const present = await runPolicy('C', rate, false)
  const result = await runPolicy('C', rate, true)
  expect(result.value).toBeGreaterThan(present.value * minGain)
  for (const kind of ['read', 'submit']) {
    const [before, after] = [present.kinds[kind], result.kinds[kind]] as [Counts, Counts]
    expect(computeShare(after, 'late')).toBeLessThan(computeShare(before, 'late') * maxLate)
    expect(computeShare(after, 'failed')).toBeLessThan(0.01)
  }
}, 120_000)
