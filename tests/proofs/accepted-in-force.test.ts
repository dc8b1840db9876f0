/**
 * P9: an accepted document is in force everywhere within seconds and never reverts. Guards against
 * nodes that stay behind after the store refused them, a link or a peer failed, or they were paused or
 * restarted, and against versions that revert.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { makeFleet } from '../fixtures/fleet.js'
import type { Fleet, LinkState } from '../fixtures/fleet.js'
import { readPropertyParameters } from '../fixtures/property.js'

const NODES = 12
const SERVICES = ['desk', 'gallery']
/** The target of the design page for any fault that leaves a path. */
const REPAIR_LIMIT_MS = 5_000
const PAIRS = [['a', 'b'], ['a', 'c'], ['b', 'c']] as const

type Oracle = Record<string, number>

function listBehind (fleet: Fleet, oracle: Oracle): string[] {
  const isBehind = (node: Fleet['nodes'][number]): boolean => Object.entries(oracle).some(([service, version]) => fleet.readInForce(node, service) !== version)
  return fleet.runningNodes.filter(isBehind).map(node => `n${node.index}`)
}

function expectNoRevert (fleet: Fleet): void {
  for (const { applied } of fleet.nodes) {
    for (const service of SERVICES) {
      const versions = applied.filter(one => one.service === service).map(one => one.version)
      expect(versions).toEqual([...new Set(versions)].sort((left, right) => left - right))
    }
  }
}

async function expectConverged (fleet: Fleet, oracle: Oracle): Promise<void> {
  await fleet.time.advanceUntil(() => listBehind(fleet, oracle).length === 0, REPAIR_LIMIT_MS)
  expect(listBehind(fleet, oracle)).toEqual([])
  expectNoRevert(fleet)
}

async function startFleet (seed: number): Promise<{ fleet: Fleet, oracle: Oracle }> {
  const fleet = makeFleet(NODES, seed)
  const oracle: Oracle = {}
  for (const service of SERVICES) oracle[service] = fleet.edit(service)
  await expectConverged(fleet, oracle)
  await fleet.time.advance(REPAIR_LIMIT_MS)
  return { fleet, oracle }
}

function cutAll (fleet: Fleet, state: LinkState): void {
  for (const [from, to] of PAIRS) fleet.cutLink(from, to, state)
}

/** One fault that leaves each living node a path to the newest version. */
const singleFaults: Record<string, (fleet: Fleet, seed: number) => void> = {
  'a node killed': (fleet, seed) => { fleet.kill(seed % NODES) },
  'a node paused': (fleet, seed) => { fleet.getNode(seed % NODES).clock.pause() },
  'a node restarted': (fleet, seed) => { fleet.restart(seed % NODES) },
  'all nodes restarted': fleet => { for (const { index } of fleet.nodes) fleet.restart(index) },
  'a node that the store refuses': (fleet, seed) => { fleet.setStoreOutage(seed % NODES, true) },
  'a node that the store refuses, restarted': (fleet, seed) => {
    fleet.setStoreOutage(seed % NODES, true)
    fleet.restart(seed % NODES)
  },
  'a region that the store refuses': fleet => { for (const { index, region } of fleet.nodes) if (region === 'b') fleet.setStoreOutage(index, true) },
  'all nodes but one that the store refuses': fleet => { for (const { index } of fleet.nodes.slice(1)) fleet.setStoreOutage(index, true) },
  'links between regions reset': fleet => { cutAll(fleet, 'reset') },
  'links between regions silent': fleet => { cutAll(fleet, 'silent') }
}

describe.each(Object.keys(singleFaults))('after one fault (%s)', name => {
  test('an edit is in force on every living node within 5 s', async () => {
    for (const seed of [1, 2, 3, 4]) {
      const { fleet, oracle } = await startFleet(seed)
      singleFaults[name]?.(fleet, seed)
      oracle.desk = fleet.edit('desk')
      await expectConverged(fleet, oracle)
      for (const node of fleet.nodes) node.clock.resume()
      oracle.gallery = fleet.edit('gallery')
      await expectConverged(fleet, oracle)
      fleet.stop()
    }
  })
})

interface Step { name: string, run: (fleet: Fleet, oracle: Oracle) => void, waitMs: number }

const index = fc.nat(NODES - 1)
const state = fc.constantFrom<LinkState>('up', 'reset', 'silent')
const waitMs = fc.nat(3_000)

function defineStep<T> (name: string, input: fc.Arbitrary<T>, run: (fleet: Fleet, value: T, oracle: Oracle) => void): fc.Arbitrary<Step> {
  return fc.tuple(input, waitMs).map(([value, wait]) =>
    ({ name: `${name} ${JSON.stringify(value)}, ${wait} ms`, run: (fleet, oracle) => { run(fleet, value, oracle) }, waitMs: wait }))
}

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  defineStep('edit', fc.constantFrom(...SERVICES), (fleet, service, oracle) => { oracle[service] = fleet.edit(service) }),
  defineStep('restart', index, (fleet, one) => { fleet.restart(one) }),
  defineStep('pause', index, (fleet, one) => { fleet.getNode(one).clock.pause() }),
  defineStep('resume', index, (fleet, one) => { fleet.getNode(one).clock.resume() }),
  defineStep('store refuses', index, (fleet, one) => { fleet.setStoreOutage(one, true) }),
  defineStep('store serves', index, (fleet, one) => { fleet.setStoreOutage(one, false) }),
  defineStep('link', fc.tuple(fc.constantFrom(...PAIRS), state), (fleet, [[from, to], link]) => { fleet.cutLink(from, to, link) })
)

function healAll (fleet: Fleet): void {
  cutAll(fleet, 'up')
  for (const { index: one, clock } of fleet.nodes) {
    clock.resume()
    fleet.setStoreOutage(one, false)
  }
}

test('after any sequence of faults the newest versions are in force within 5 s of their end, and none reverted', async () => {
  await fc.assert(fc.asyncProperty(fc.nat(1_000), fc.array(anyStep, { maxLength: 25 }), async (seed, list) => {
    const { fleet, oracle } = await startFleet(seed)
    for (const step of list) {
      step.run(fleet, oracle)
      await fleet.time.advance(step.waitMs)
      expectNoRevert(fleet)
    }
    healAll(fleet)
    await expectConverged(fleet, oracle)
    fleet.stop()
  }), readPropertyParameters(25))
})
