/**
 * Guards against overload in which slots are spent on responses that come late or on runs that fail, with the loads of two deployments
 * at 1.0, 1.7 and 2.5 times their usual rate: T with competing accounts and nested calls, C with machines that other workloads share.
 */
import { expect, test } from '@jest/globals'
import { ExpectedWaitAdmissionPolicy, LeastDelayPicker, SharedRoomEntryPolicy, SlotLimiter, WorkControl, WorkLimiter, WorkPicker } from '../src/request/index.js'
import { makeClock } from './fixtures/clock.js'
import { makeDeploymentC, makeDeploymentT, runOverload } from './fixtures/overload.js'
import type { Deployment, OverloadResult } from './fixtures/overload.js'

const QUEUE = 12
const SECONDS = Number(process.env.SECONDS ?? 8)

async function runPolicy (deployment: Deployment, rate: number, hasPolicy: boolean): Promise<OverloadResult> {
  const clock = makeClock()
  return await runOverload({
    clock,
    deployment,
    rate,
    seconds: SECONDS,
    makeNode: (target, random) => {
      const limits = { slots: target.slots, queue: QUEUE }
      const admission = new ExpectedWaitAdmissionPolicy()
      if (!hasPolicy) return { picker: new LeastDelayPicker(target, clock, random), limiter: new SlotLimiter(limits, clock, admission), control: undefined, entry: undefined }
      const control = new WorkControl(() => deployment.hasAccounts)
      const picker = process.env.OLDPICK !== undefined ? new LeastDelayPicker(target, clock, random) : new WorkPicker(target, clock, random, control)
      return { picker, limiter: new WorkLimiter(limits, clock, admission, target.id, control), control, entry: process.env.NOENTRY !== undefined ? undefined : new SharedRoomEntryPolicy(clock, random) }
    }
  })
}

const CASES = [['T', makeDeploymentT, 1], ['T', makeDeploymentT, 1.7], ['T', makeDeploymentT, 2.5], ['C', makeDeploymentC, 1], ['C', makeDeploymentC, 1.7], ['C', makeDeploymentC, 2.5]] as const

test.each(CASES)('%s', async (name, makeDeployment, rate) => {
  const started = Date.now()
  const present = await runPolicy(makeDeployment(), rate, false)
  const policy = await runPolicy(makeDeployment(), rate, true)
  process.stderr.write(`${name} ${rate} ${Date.now() - started} ms\n${print(present)}\n${print(policy)}\n`)
  expect(policy.value).toBeGreaterThan(present.value * 0.9)
}, 120_000)

function print ({ kinds, classes, value, wastedRuns, attempts }: OverloadResult): string {
  const row = ([name, { inTime, late, refused, failed }]: [string, { inTime: number, late: number, refused: number, failed: number }]): string => {
    const all = inTime + late + refused + failed
    return `${name} ${[inTime, late, refused, failed].map(count => (count / all).toFixed(2)).join('/')}`
  }
  return `  value ${value.toFixed(0)} wasted ${wastedRuns} attempts ${attempts} | ${[...Object.entries(kinds), ...Object.entries(classes).filter(([, counts]) => counts.inTime > 0)].map(row).join(' | ')}`
}
