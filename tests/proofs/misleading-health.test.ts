/**
 * The results of calls take precedence over the states that targets report. Guards against a target that fails
 * fast and so appears fast, a slow target that receives its full share, targets that report a wrong state, and
 * ejection of all targets of a service.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { PickerSimulation, makeSimulatedTarget } from '../fixtures/simulation.js'
import type { SimulatedCall, SimulatedTarget } from '../fixtures/simulation.js'
import { readPropertyParameters } from '../fixtures/property.js'

const RUNS = 60
const CALLS = 4_000
const CALL_INTERVAL_MS = 1

const anySeed = fc.integer({ min: 1, max: 1_000_000 })

function computeShare (served: ReadonlyArray<SimulatedCall | undefined>, id: string): number {
  return served.filter(call => call?.target.id === id).length / served.length
}

describe('the picker', () => {
  test('gives a target that fails fast less than half of an equal share', () => {
    const failingTarget = fc.record({
      failureRate: fc.constantFrom(0.5, 0.8, 1),
      failureMs: fc.constantFrom(0.01, 0.5, 3),
      otherTargets: fc.integer({ min: 2, max: 9 })
    })
    fc.assert(fc.property(failingTarget, anySeed, ({ failureRate, failureMs, otherTargets }, seed) => {
      const simulation = new PickerSimulation([
        makeSimulatedTarget({ failureRate, failureMs }),
        ...Array.from({ length: otherTargets }, () => makeSimulatedTarget())], seed)
      expect(computeShare(simulation.run(CALLS, CALL_INTERVAL_MS), 'h-0/t')).toBeLessThan(0.5 / (otherTargets + 1))
    }), readPropertyParameters(RUNS))
  })

  test('gives a slow target less than half of an equal share', () => {
    fc.assert(fc.property(fc.integer({ min: 25, max: 500 }), fc.integer({ min: 2, max: 9 }), anySeed, (latencyMs, otherTargets, seed) => {
      const simulation = new PickerSimulation([
        makeSimulatedTarget({ latencyMs }),
        ...Array.from({ length: otherTargets }, () => makeSimulatedTarget())], seed)
      expect(computeShare(simulation.run(CALLS, CALL_INTERVAL_MS), 'h-0/t')).toBeLessThan(0.5 / (otherTargets + 1))
    }), readPropertyParameters(RUNS))
  })

  test('finds a target for every call, whatever state the targets report and however many fail', () => {
    const anyTarget: fc.Arbitrary<SimulatedTarget> = fc.record({
      zone: fc.constantFrom('a', 'b', 'c'),
      region: fc.constant('r'),
      state: fc.constantFrom('starting' as const, 'ready' as const),
      latencyMs: fc.integer({ min: 1, max: 50 }),
      failureRate: fc.constantFrom(0, 0.2, 1),
      failureMs: fc.constantFrom(0.01, 20)
    })
    fc.assert(fc.property(fc.array(anyTarget, { minLength: 1, maxLength: 8 }), anySeed, (targets, seed) => {
      const served = new PickerSimulation(targets, seed).run(1_000, CALL_INTERVAL_MS)
      expect(served.filter(call => call === undefined)).toEqual([])
    }), readPropertyParameters(RUNS))
  })

  test('ejects at most three of ten targets, so that the others do not receive all the load when many fail for a short time', () => {
    fc.assert(fc.property(anySeed, seed => {
      const simulation = new PickerSimulation(Array.from({ length: 10 }, () => makeSimulatedTarget({ failureRate: 1 })), seed)
      for (let round = 0; round < 40; round += 1) {
        simulation.run(50, CALL_INTERVAL_MS)
        expect(simulation.picker.countEjected(simulation.targets)).toBeLessThanOrEqual(3)
      }
      expect(simulation.picker.countEjected(simulation.targets)).toBe(3)
    }), readPropertyParameters(RUNS))
  })

  test('spills over to the next zone when the local zone is full, and not before', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), anySeed, (load, seed) => {
      const localTargets = Array.from({ length: 2 }, () => makeSimulatedTarget({ latencyMs: 10 }))
      const remoteTargets = Array.from({ length: 8 }, () => makeSimulatedTarget({ zone: 'b', latencyMs: 10 }))
      const simulation = new PickerSimulation([...localTargets, ...remoteTargets], seed)
      const served = simulation.run(CALLS, 10 / load)
      const localShare = served.filter(call => call?.target.zone === 'a').length / CALLS
      if (load <= 8) expect(localShare).toBe(1)
      if (load >= 16) expect(localShare).toBeLessThan(0.9)
    }), readPropertyParameters(RUNS))
  })

  test('gives a new target a reduced share while it warms up', () => {
    fc.assert(fc.property(anySeed, seed => {
      const simulation = new PickerSimulation(Array.from({ length: 5 }, () => makeSimulatedTarget()), seed)
      const newTarget = simulation.targets.pop()
      simulation.run(CALLS * 3, CALL_INTERVAL_MS)
      if (newTarget !== undefined) simulation.addTarget(newTarget)
      expect(computeShare(simulation.run(1_000, CALL_INTERVAL_MS), 'h-4/t')).toBeLessThan(0.1)
      simulation.run(CALLS * 3, CALL_INTERVAL_MS)
      expect(computeShare(simulation.run(1_000, CALL_INTERVAL_MS), 'h-4/t')).toBeGreaterThan(0.1)
    }), readPropertyParameters(10))
  })
})
