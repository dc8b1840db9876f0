/**
 * Guards against an expected time that mixes up its causes: long requests that make a target look slow, a slow target that makes a
 * route look long, and a busy machine that does either. The load is that of two deployments: targets whose speeds differ by a factor of
 * three with work of 35 to 181 ms, and machines on which the same work takes up to 2.5 times as long, changing many times a second.
 */
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../src/core/index.js'
import { WorkModel } from '../src/request/work.js'

const SERVICE = 'registry'
const WORK_MS = { record: 181, lookup: 35 }
const SPEEDS = [0.6, 0.8, 1, 1.2, 1.8]

/** Requests of two kinds on targets of different speeds, the slow targets with mostly long requests. */
function runModel (measureMachine: (random: SeededRandom) => number): WorkModel {
  const [model, random] = [new WorkModel(), new SeededRandom(3)]
  for (let at = 0; at < 40_000; at += 10) {
    const index = random.pickIndex(SPEEDS.length)
    const kind = random.next() < 0.2 + 0.15 * index ? 'record' : 'lookup'
    const machine = measureMachine(random)
    model.recordMachine(`t${index}`, machine * 100, at)
    model.recordTime({ service: SERVICE, kind }, `t${index}`, WORK_MS[kind] * (SPEEDS[index] as number) * machine * (0.5 + random.next()), machine, at)
  }
  return model
}

test.each([['constant', () => 1], ['shared', (random: SeededRandom) => 1 + 1.5 * random.next()]])('on %s machines the work of each kind is told from the speed of each target', (_name, measureMachine) => {
  const model = runModel(measureMachine)
  const ratio = model.getWork({ service: SERVICE, kind: 'record' }) / model.getWork({ service: SERVICE, kind: 'lookup' })
  expect(ratio / (WORK_MS.record / WORK_MS.lookup)).toBeCloseTo(1, 0)
  for (const [index, speed] of SPEEDS.entries()) {
    const expectedMs = model.getWork({ service: SERVICE, kind: 'record' }) * model.getSpeed(`t${index}`, 40_000)
    expect(Math.abs(Math.log(expectedMs / (WORK_MS.record * speed)))).toBeLessThan(0.3)
  }
})

test('a report of a machine loses its weight with its age and returns to the mean of the reports', () => {
  const model = new WorkModel()
  for (let at = 0; at < 20_000; at += 20) model.recordMachine('t', at % 40 === 0 ? 100 : 200, at)
  model.recordMachine('t', 250, 20_000)
  expect(model.getMachine('t', 20_000)).toBeCloseTo(2.5)
  expect(model.getMachine('t', 21_500)).toBeCloseTo(1.5, 1)
  expect(model.getMachine('t', 40_000)).toBe(1)
})

test('a target that was slow after its start and gets no requests is expected to have its usual speed again', () => {
  const model = new WorkModel()
  for (let at = 0; at < 13_000; at += 20) {
    model.recordTime({ service: SERVICE, kind: 'lookup' }, `t${at / 20 % 4}`, 35, 1, at)
    if (at >= 10_000 && at % 100 === 0) model.recordTime({ service: SERVICE, kind: 'lookup' }, 'new', 105, 1, at)
  }
  expect(model.getSpeed('new', 13_000)).toBeGreaterThan(2)
  expect(model.getSpeed('new', 23_000)).toBeLessThan(1.1)
})
