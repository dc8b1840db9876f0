/**
 * P9: an accepted document is in force on every node within seconds and never reverts. Guards against nodes
 * that keep an old version after they could not reach the store, a link or a peer failed, or the node was
 * paused or restarted, and against versions that revert.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { makeFleet } from '../fixtures/fleet.js'
import type { Fleet, LinkState } from '../fixtures/fleet.js'
import { readPropertyParameters } from '../fixtures/property.js'

const NODES = 12
const SERVICES = ['desk', 'gallery']
/** The recovery time on the design page for any fault that leaves a path to the newest version. */
const RECOVERY_LIMIT_MS = 5_000
const REGION_PAIRS = [['a', 'b'], ['a', 'c'], ['b', 'c']] as const

type NewestVersions = Record<string, number>

function listStaleNodes (fleet: Fleet, newest: NewestVersions): string[] {
  const isStale = (node: Fleet['nodes'][number]): boolean =>
    Object.entries(newest).some(([service, version]) => fleet.readInForce(node, service) !== version)
  return fleet.runningNodes.filter(isStale).map(node => `n${node.index}`)
}

function expectNoRevert (fleet: Fleet): void {
  for (const { applied } of fleet.nodes) {
    for (const service of SERVICES) {
      const versions = applied.filter(entry => entry.service === service).map(entry => entry.version)
      expect(versions).toEqual([...new Set(versions)].sort((left, right) => left - right))
    }
  }
}

async function expectConverged (fleet: Fleet, newest: NewestVersions): Promise<void> {
  await fleet.time.advanceUntil(() => listStaleNodes(fleet, newest).length === 0, RECOVERY_LIMIT_MS)
  expect(listStaleNodes(fleet, newest)).toEqual([])
  expectNoRevert(fleet)
}

async function startFleet (seed: number): Promise<{ fleet: Fleet, newest: NewestVersions }> {
  const fleet = makeFleet(NODES, seed)
  const newest: NewestVersions = {}
  for (const service of SERVICES) newest[service] = fleet.edit(service)
  await expectConverged(fleet, newest)
  await fleet.time.advance(RECOVERY_LIMIT_MS)
  return { fleet, newest }
}

function setAllLinks (fleet: Fleet, state: LinkState): void {
  for (const [from, to] of REGION_PAIRS) fleet.cutLink(from, to, state)
}

/** Single faults that leave each running node a path to the newest version. */
const singleFaults: Record<string, (fleet: Fleet, seed: number) => void> = {
  'a node killed': (fleet, seed) => { fleet.kill(seed % NODES) },
  'a node paused': (fleet, seed) => { fleet.getNode(seed % NODES).clock.pause() },
  'a node restarted': (fleet, seed) => { fleet.restart(seed % NODES) },
  'all nodes restarted': fleet => { for (const { index } of fleet.nodes) fleet.restart(index) },
  'a node that cannot reach the store': (fleet, seed) => { fleet.setStoreOutage(seed % NODES, true) },
  'a node that cannot reach the store, restarted': (fleet, seed) => {
    fleet.setStoreOutage(seed % NODES, true)
    fleet.restart(seed % NODES)
  },
  'a region that cannot reach the store': fleet => {
    for (const { index, region } of fleet.nodes) if (region === 'b') fleet.setStoreOutage(index, true)
  },
  'all nodes but one that cannot reach the store': fleet => { for (const { index } of fleet.nodes.slice(1)) fleet.setStoreOutage(index, true) },
  'links between regions reset': fleet => { setAllLinks(fleet, 'reset') },
  'links between regions unresponsive': fleet => { setAllLinks(fleet, 'silent') }
}

describe.each(Object.keys(singleFaults))('after one fault (%s)', name => {
  test('an edit is in force on every running node within 5 s', async () => {
    for (const seed of [1, 2, 3, 4]) {
      const { fleet, newest } = await startFleet(seed)
      singleFaults[name]?.(fleet, seed)
      newest.desk = fleet.edit('desk')
      await expectConverged(fleet, newest)
      for (const node of fleet.nodes) node.clock.resume()
      newest.gallery = fleet.edit('gallery')
      await expectConverged(fleet, newest)
      fleet.stop()
    }
  })
})

interface Step { name: string, run: (fleet: Fleet, newest: NewestVersions) => void, waitMs: number }

const anyIndex = fc.nat(NODES - 1)
const anyLinkState = fc.constantFrom<LinkState>('up', 'reset', 'silent')
const anyWaitMs = fc.nat(3_000)

function defineStep<T> (name: string, input: fc.Arbitrary<T>, run: (fleet: Fleet, value: T, newest: NewestVersions) => void): fc.Arbitrary<Step> {
  return fc.tuple(input, anyWaitMs).map(([value, waitMs]) =>
    ({ name: `${name} ${JSON.stringify(value)}, ${waitMs} ms`, run: (fleet, newest) => { run(fleet, value, newest) }, waitMs }))
}

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  defineStep('edit', fc.constantFrom(...SERVICES), (fleet, service, newest) => { newest[service] = fleet.edit(service) }),
  defineStep('restart', anyIndex, (fleet, index) => { fleet.restart(index) }),
  defineStep('pause', anyIndex, (fleet, index) => { fleet.getNode(index).clock.pause() }),
  defineStep('resume', anyIndex, (fleet, index) => { fleet.getNode(index).clock.resume() }),
  defineStep('store unreachable', anyIndex, (fleet, index) => { fleet.setStoreOutage(index, true) }),
  defineStep('store reachable', anyIndex, (fleet, index) => { fleet.setStoreOutage(index, false) }),
  defineStep('link', fc.tuple(fc.constantFrom(...REGION_PAIRS), anyLinkState), (fleet, [[from, to], linkState]) => {
    fleet.cutLink(from, to, linkState)
  })
)

function endAllFaults (fleet: Fleet): void {
  setAllLinks(fleet, 'up')
  for (const { index, clock } of fleet.nodes) {
    clock.resume()
    fleet.setStoreOutage(index, false)
  }
}

test('after any sequence of faults, the newest versions are in force within 5 s of the end of the faults, and no version reverts', async () => {
  await fc.assert(fc.asyncProperty(fc.nat(1_000), fc.array(anyStep, { maxLength: 25 }), async (seed, steps) => {
    const { fleet, newest } = await startFleet(seed)
    for (const step of steps) {
      step.run(fleet, newest)
      await fleet.time.advance(step.waitMs)
      expectNoRevert(fleet)
    }
    endAllFaults(fleet)
    await expectConverged(fleet, newest)
    fleet.stop()
  }), readPropertyParameters(25))
})
