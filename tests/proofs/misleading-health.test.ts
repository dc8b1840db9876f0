/**
 * What calls have seen goes before what targets say. Guards against a target that fails fast and so
 * looks fast, a slow one that draws its full share, a fleet that lies about its state, and ejection
 * that empties a service.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { PickerSimulation, makeSimulatedTarget } from '../fixtures/simulation.js'
import type { SimulatedCall, SimulatedTarget } from '../fixtures/simulation.js'
import { readPropertyParameters } from '../fixtures/property.js'

const RUNS = 60
const CALLS = 4_000
const EVERY_MS = 1

const seedSchema = fc.integer({ min: 1, max: 1_000_000 })

function computeShare (served: ReadonlyArray<SimulatedCall | undefined>, id: string): number {
  return served.filter(one => one?.target.id === id).length / served.length
}

describe('the picker', () => {
  test('gives a target that fails at once less than half of an equal share', () => {
    const bad = fc.record({ failing: fc.constantFrom(0.5, 0.8, 1), failMs: fc.constantFrom(0.01, 0.5, 3), others: fc.integer({ min: 2, max: 9 }) })
    fc.assert(fc.property(bad, seedSchema, ({ failing, failMs, others }, seed) => {
      const fleet = new PickerSimulation([
        makeSimulatedTarget({ failureRate: failing, failureMs: failMs }),
        ...Array.from({ length: others }, () => makeSimulatedTarget())], seed)
      expect(computeShare(fleet.run(CALLS, EVERY_MS), 'h-0/t')).toBeLessThan(0.5 / (others + 1))
    }), readPropertyParameters(RUNS))
  })

  test('gives a target that lags less than half of an equal share', () => {
    fc.assert(fc.property(fc.integer({ min: 25, max: 500 }), fc.integer({ min: 2, max: 9 }), seedSchema, (latencyMs, others, seed) => {
      const fleet = new PickerSimulation([makeSimulatedTarget({ latencyMs }), ...Array.from({ length: others }, () => makeSimulatedTarget())], seed)
      expect(computeShare(fleet.run(CALLS, EVERY_MS), 'h-0/t')).toBeLessThan(0.5 / (others + 1))
    }), readPropertyParameters(RUNS))
  })

  test('finds a target for every call, whatever targets say and however many fail', () => {
    const simulated: fc.Arbitrary<SimulatedTarget> = fc.record({
      zone: fc.constantFrom('a', 'b', 'c'),
      region: fc.constant('r'),
      state: fc.constantFrom('starting' as const, 'ready' as const),
      latencyMs: fc.integer({ min: 1, max: 50 }),
      failureRate: fc.constantFrom(0, 0.2, 1),
      failureMs: fc.constantFrom(0.01, 20)
    })
    fc.assert(fc.property(fc.array(simulated, { minLength: 1, maxLength: 8 }), seedSchema, (list, seed) => {
      const served = new PickerSimulation(list, seed).run(1_000, EVERY_MS)
      expect(served.filter(one => one === undefined)).toEqual([])
    }), readPropertyParameters(RUNS))
  })

  test('ejects no more than three of ten, so the others do not get all the load of a bad moment', () => {
    fc.assert(fc.property(seedSchema, seed => {
      const fleet = new PickerSimulation(Array.from({ length: 10 }, () => makeSimulatedTarget({ failureRate: 1 })), seed)
      for (let round = 0; round < 40; round += 1) {
        fleet.run(50, EVERY_MS)
        expect(fleet.picker.countEjected(fleet.targets)).toBeLessThanOrEqual(3)
      }
      expect(fleet.picker.countEjected(fleet.targets)).toBe(3)
    }), readPropertyParameters(RUNS))
  })

  test('spills over to the next zone when its own is full, and not before', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), seedSchema, (load, seed) => {
      const near = Array.from({ length: 2 }, () => makeSimulatedTarget({ latencyMs: 10 }))
      const far = Array.from({ length: 8 }, () => makeSimulatedTarget({ zone: 'b', latencyMs: 10 }))
      const fleet = new PickerSimulation([...near, ...far], seed)
      const served = fleet.run(CALLS, 10 / load)
      const own = served.filter(one => one?.target.zone === 'a').length / CALLS
      if (load <= 8) expect(own).toBe(1)
      if (load >= 16) expect(own).toBeLessThan(0.9)
    }), readPropertyParameters(RUNS))
  })

  test('lets a new target warm up', () => {
    fc.assert(fc.property(seedSchema, seed => {
      const fleet = new PickerSimulation(Array.from({ length: 5 }, () => makeSimulatedTarget()), seed)
      const added = fleet.targets.pop()
      fleet.run(CALLS * 3, EVERY_MS)
      if (added !== undefined) fleet.addTarget(added)
      expect(computeShare(fleet.run(1_000, EVERY_MS), 'h-4/t')).toBeLessThan(0.1)
      fleet.run(CALLS * 3, EVERY_MS)
      expect(computeShare(fleet.run(1_000, EVERY_MS), 'h-4/t')).toBeGreaterThan(0.1)
    }), readPropertyParameters(10))
  })
})
