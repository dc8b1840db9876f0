/**
 * P1: no node ever reverts to an older version. Guards against a version that reverts because the store or a
 * peer lags or delivers a version twice or late, or because a restarted node applies the state of a peer that
 * lags behind another peer.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { applyChange } from '../../src/configuration/index.js'
import type { Configuration } from '../../src/configuration/index.js'
import { applyConfiguration } from '../../src/node/commands/apply.js'
import { makeExchangeResponse } from '../../src/node/queries/difference.js'
import type { NodeState } from '../../src/node/state.js'
import type { ExchangeResponse } from '../../src/peer/index.js'
import type { Entry } from '../../src/snapshot/index.js'
import { makeDeletion, makeEntry } from '../fixtures/entry.js'
import { readPropertyParameters } from '../fixtures/property.js'
import { makeState } from '../fixtures/state.js'

const SERVICES = ['desk', 'gallery'] as const
const PEERS = 3

type Service = typeof SERVICES[number]

/** The index of the newest configuration that the node received since it started, -1 for none. */
interface Oracle { newest: number }

interface System {
  node: NodeState
  peers: NodeState[]
  /** The configurations of the store, in order. Each replaces all entries. */
  published: Configuration[]
  /** The index of the newest configuration of each peer, -1 for none. */
  newestOfPeers: number[]
  applied: Entry[]
}

function makeSystem (): System {
  const peers = Array.from({ length: PEERS }, () => makeState())
  return { node: makeState(), peers, published: [], newestOfPeers: Array<number>(PEERS).fill(-1), applied: [] }
}

function applyPublished (oracle: Oracle, system: System, index: number): void {
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

/** The store publishes a configuration that changes or removes one service. Its version increases by 1 to 4. */
class Publish extends Step {
  override act (_oracle: Oracle, { published }: System): void {
    const last = published.at(-1)
    const version = (last?.version ?? 0) + 1 + this.pick % 4
    const others = last?.entries.filter(entry => entry.service !== this.service) ?? []
    const unchanged = others.map(entry => ({ ...entry, version }))
    const changed = this.pick % 5 === 0 ? [] : [makeEntry(this.service, version, { limits: { queue: version } })]
    published.push({ version, entries: [...unchanged, ...changed], replacesAll: true })
  }
}

/** The store returns any configuration that it ever had, as a stale list does. */
class ReadStore extends Step {
  override act (oracle: Oracle, system: System): void {
    applyPublished(oracle, system, this.pickIndex(system))
  }
}

class ApplyAtPeer extends Step {
  override act (_oracle: Oracle, { published, peers, newestOfPeers }: System): void {
    const index = published.length === 0 ? -1 : this.pick % published.length
    const [configuration, peer] = [published[index], peers[this.peer]]
    if (configuration === undefined || peer === undefined) return
    applyConfiguration(peer, configuration)
    newestOfPeers[this.peer] = Math.max(newestOfPeers[this.peer] ?? -1, index)
  }
}

function restoreConfiguration (node: NodeState, { configurationChange: change }: ExchangeResponse): Configuration | undefined {
  const base = change === undefined ? undefined : node.history.find(change.base)
  return base === undefined || change === undefined ? undefined : applyChange(base, change)
}

function sortEntries ({ entries }: Configuration): Entry[] {
  return [...entries].sort((left, right) => left.service.localeCompare(right.service))
}

/** A peer responds with its configuration, or with what changed since the node's, if it is newer than that. */
class ExchangeWithPeer extends Step {
  override act (oracle: Oracle, system: System): void {
    const { node, peers, newestOfPeers } = system
    const peer = peers[this.peer]
    if (peer === undefined) return
    const request = { host: 'h1', version: node.version, wantsConfiguration: true, zones: {}, records: [], cleared: [], stamp: { wall: 0, counter: 0 } }
    const response = makeExchangeResponse(peer, request)
    const configuration = response.configuration ?? restoreConfiguration(node, response)
    expect(configuration !== undefined).toBe((newestOfPeers[this.peer] ?? -1) > oracle.newest)
    if (configuration === undefined) return
    const index = system.published.findIndex(({ version }) => version === configuration.version)
    expect(sortEntries(configuration)).toEqual(sortEntries(system.published[index] ?? configuration))
    applyPublished(oracle, system, index)
  }
}

/** The node restarts with an empty state. */
class Restart extends Step {
  override act (oracle: Oracle, system: System): void {
    system.applied.length = 0
    system.node = makeState()
    oracle.newest = -1
  }
}

describe('versions in force', () => {
  test('never decrease and are the highest that the node received', async () => {
    const steps = [Publish, Publish, ReadStore, ApplyAtPeer, ApplyAtPeer, ExchangeWithPeer, ExchangeWithPeer, Restart].map(StepClass =>
      fc.tuple(fc.constantFrom(...SERVICES), fc.nat(PEERS - 1), fc.nat(20)).map(([service, peer, pick]) => new StepClass(service, peer, pick)))
    await fc.assert(fc.asyncProperty(fc.commands(steps, { maxCommands: 60, size: 'max' }), async commands => {
      await fc.asyncModelRun(() => ({ model: { newest: -1 }, real: makeSystem() }), commands)
    }), readPropertyParameters(300))
  })

  test('a service that is deleted and created again continues at a higher version', () => {
    const state = makeState()
    const versions = [makeEntry('desk', 3), makeDeletion('desk', 5), makeEntry('desk', 6)]
    versions.forEach((entry, index) => { applyConfiguration(state, { version: index + 1, entries: [entry], replacesAll: false }) })
    applyConfiguration(state, { version: 9, entries: [makeDeletion('desk', 5)], replacesAll: false })
    expect(state.snapshotTable.current.entries.get('desk')?.version).toBe(6)
  })
})
