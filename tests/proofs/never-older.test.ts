/**
 * P1: no node ever moves back to an older version. Guards against a version that reverts because the
 * store or a peer lags, brings one twice or late, or a node restarts and takes the state of a peer
 * that lags behind another.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { Configuration } from '../../src/configuration/index.js'
import { applyConfiguration } from '../../src/node/commands/apply.js'
import { makeExchangeResponse } from '../../src/node/queries/difference.js'
import type { NodeState } from '../../src/node/state.js'
import type { Entry } from '../../src/snapshot/index.js'
import { makeDeletion, makeEntry } from '../fixtures/entry.js'
import { readPropertyParameters } from '../fixtures/property.js'
import { makeState } from '../fixtures/state.js'

const SERVICES = ['desk', 'gallery'] as const
const PEERS = 3

type Service = typeof SERVICES[number]

/** The index of the newest configuration that the node was shown since it started, -1 for none. */
interface Oracle { newest: number }

interface System {
  node: NodeState
  peers: NodeState[]
  /** As the store had them, in their order. Each replaces all. */
  published: Configuration[]
  /** The index of the newest that each peer holds. */
  held: number[]
  applied: Entry[]
}

function makeSystem (): System {
  const peers = Array.from({ length: PEERS }, () => makeState())
  return { node: makeState(), peers, published: [], held: Array<number>(PEERS).fill(-1), applied: [] }
}

function show (oracle: Oracle, system: System, index: number): void {
  const configuration = system.published[index]
  if (configuration === undefined) return
  system.applied.push(...applyConfiguration(system.node, configuration)?.applied ?? [])
  oracle.newest = Math.max(oracle.newest, index)
}

function expectOracle ({ newest }: Oracle, { node, published, applied }: System): void {
  const entries = published[newest]?.entries ?? []
  for (const service of SERVICES) {
    const expected = entries.find(entry => entry.service === service)?.document
    expect(node.snapshotTable.current.entries.get(service)?.document).toEqual(expected)
    const versions = applied.filter(entry => entry.service === service).map(entry => entry.version)
    expect(versions).toEqual([...new Set(versions)].sort((left, right) => left - right))
  }
}

abstract class Step implements fc.AsyncCommand<Oracle, System> {
  constructor (protected readonly service: Service, protected readonly peer: number, protected readonly pick: number) {}

  check (): boolean {
    return true
  }

  async run (oracle: Oracle, system: System): Promise<void> {
    this.act(oracle, system)
    expectOracle(oracle, system)
  }

  abstract act (oracle: Oracle, system: System): void

  toString (): string {
    return `${this.constructor.name} ${this.service} peer ${this.peer} pick ${this.pick}`
  }

  protected pickIndex ({ published }: System): number {
    return published.length === 0 ? -1 : this.pick % published.length
  }
}

/** The store takes a new configuration that changes or drops one service, in a step of any size. */
class Publish extends Step {
  override act (_oracle: Oracle, { published }: System): void {
    const last = published.at(-1)
    const version = (last?.version ?? 0) + 1 + this.pick % 4
    const others = last?.entries.filter(entry => entry.service !== this.service) ?? []
    const kept = others.map(entry => ({ ...entry, version }))
    const changed = this.pick % 5 === 0 ? [] : [makeEntry(this.service, version, { limits: { queue: version } })]
    published.push({ version, entries: [...kept, ...changed], replacesAll: true })
  }
}

/** The store shows any configuration that it ever had, as a list that lags does. */
class Read extends Step {
  override act (oracle: Oracle, system: System): void {
    show(oracle, system, this.pickIndex(system))
  }
}

class Learn extends Step {
  override act (_oracle: Oracle, { published, peers, held }: System): void {
    const index = published.length === 0 ? -1 : this.pick % published.length
    const [configuration, peer] = [published[index], peers[this.peer]]
    if (configuration === undefined || peer === undefined) return
    applyConfiguration(peer, configuration)
    held[this.peer] = Math.max(held[this.peer] ?? -1, index)
  }
}

/** A peer answers the node with what it holds, if that is newer. */
class Compare extends Step {
  override act (oracle: Oracle, system: System): void {
    const { node, peers, held } = system
    const peer = peers[this.peer]
    if (peer === undefined) return
    const request = { host: 'h1', version: node.version, zones: {}, records: [], marks: [], cleared: [], stamp: { wall: 0, counter: 0 } }
    const { configuration } = makeExchangeResponse(peer, request)
    expect(configuration !== undefined).toBe((held[this.peer] ?? -1) > oracle.newest)
    if (configuration !== undefined) show(oracle, system, system.published.indexOf(configuration))
  }
}

/** The node restarts empty. */
class Restart extends Step {
  override act (oracle: Oracle, system: System): void {
    system.applied.length = 0
    system.node = makeState()
    oracle.newest = -1
  }
}

describe('versions in force', () => {
  test('never fall and are the highest that the node was shown', async () => {
    const steps = [Publish, Publish, Read, Learn, Learn, Compare, Compare, Restart].map(Kind =>
      fc.tuple(fc.constantFrom(...SERVICES), fc.nat(PEERS - 1), fc.nat(20)).map(([service, peer, pick]) => new Kind(service, peer, pick)))
    await fc.assert(fc.asyncProperty(fc.commands(steps, { maxCommands: 60, size: 'max' }), async commands => {
      await fc.asyncModelRun(() => ({ model: { newest: -1 }, real: makeSystem() }), commands)
    }), readPropertyParameters(300))
  })

  test('a service that is deleted and made again goes on at a higher version', () => {
    const state = makeState()
    const versions = [makeEntry('desk', 3), makeDeletion('desk', 5), makeEntry('desk', 6)]
    versions.forEach((entry, index) => { applyConfiguration(state, { version: index + 1, entries: [entry], replacesAll: false }) })
    applyConfiguration(state, { version: 9, entries: [makeDeletion('desk', 5)], replacesAll: false })
    expect(state.snapshotTable.current.entries.get('desk')?.version).toBe(6)
  })
})
