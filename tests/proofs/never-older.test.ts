/**
 * P1: no node ever moves back to an older version. Guards against a version that reverts because an
 * upstream lags, an update comes twice or late, a difference is applied to the wrong base, or a node
 * that restarts takes the state of a peer that lags behind another.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { takeState } from '../../src/node/tasks/fetch.js'
import { makeFetchAnswer, makeUpdate, readUpdate, receiveEntries } from '../../src/peer/index.js'
import type { Receiver } from '../../src/peer/index.js'
import type { Entry } from '../../src/snapshot/index.js'
import { makeDeletion, makeEntry } from '../fixtures/entry.js'
import { readProofParameters } from '../fixtures/proof.js'
import { makeReceiver } from '../fixtures/receiver.js'

const SERVICES = ['desk', 'gallery'] as const
const UPSTREAMS = 3

type Service = typeof SERVICES[number]

/** What the node must have in force: the highest version that anyone has shown it since it started. */
interface Oracle { newest: Record<Service, number>, published: Record<Service, number> }

interface System {
  node: Receiver
  upstreams: Receiver[]
  versions: Record<Service, Entry[]>
  /** Updates as they were sent; any of them may arrive again. */
  sent: Array<ReturnType<typeof makeUpdate>>
  /** Versions in the order in which they came into force since the node started. */
  applied: Entry[]
}

function makeSystem (): System {
  const applied: Entry[] = []
  return {
    node: makeReceiver('node', entry => { applied.push(entry) }),
    upstreams: Array.from({ length: UPSTREAMS }, (_, index) => makeReceiver(`up${index}`)),
    versions: { desk: [], gallery: [] },
    sent: [],
    applied
  }
}

function readInForce (receiver: Receiver, service: Service): number {
  return receiver.replica.table.current.entries.get(service)?.version ?? 0
}

function expectOracle (oracle: Oracle, system: System): void {
  for (const service of SERVICES) {
    expect(readInForce(system.node, service)).toBe(oracle.newest[service])
    const entry = system.node.replica.table.current.entries.get(service)
    expect(entry?.document).toEqual(system.versions[service][oracle.newest[service] - 1]?.document)
    const versions = system.applied.filter(entry => entry.service === service).map(entry => entry.version)
    expect(versions).toEqual([...new Set(versions)].sort((left, right) => left - right))
  }
}

/** As the upstream task does: an update whose base is not held is answered by the full text. */
function deliver (node: Receiver, update: ReturnType<typeof makeUpdate>, full: Entry): void {
  const read = readUpdate(update, node.replica.findVersion(update.service, update.base ?? 0))
  receiveEntries(node, [read.ok ? read.val : full])
}

abstract class Step implements fc.AsyncCommand<Oracle, System> {
  constructor (protected readonly service: Service, protected readonly upstream: number, protected readonly pick: number) {}

  check (): boolean {
    return true
  }

  async run (oracle: Oracle, system: System): Promise<void> {
    this.act(oracle, system)
    expectOracle(oracle, system)
  }

  abstract act (oracle: Oracle, system: System): void

  toString (): string {
    return `${this.constructor.name} ${this.service} upstream ${this.upstream} pick ${this.pick}`
  }

  protected getUpstream (system: System): Receiver {
    return system.upstreams[this.upstream] as Receiver
  }
}

class Publish extends Step {
  override act (oracle: Oracle, system: System): void {
    oracle.published[this.service] += 1
    const version = oracle.published[this.service]
    const limits = { slots: 6, connections: 130, queue: version }
    system.versions[this.service].push(this.pick % 5 === 0 ? makeDeletion(this.service, version) : makeEntry(this.service, version, { limits }))
  }
}

/** An upstream learns of any published version, also of one below its own. */
class Learn extends Step {
  override act (_oracle: Oracle, system: System): void {
    const versions = system.versions[this.service]
    const entry = versions[this.pick % Math.max(1, versions.length)]
    if (entry !== undefined) receiveEntries(this.getUpstream(system), [entry])
  }
}

/** An upstream sends its version, as a difference against any version that it still has. */
class Send extends Step {
  override act (oracle: Oracle, system: System): void {
    const { replica } = this.getUpstream(system)
    const entry = replica.table.staged.get(this.service)
    if (entry === undefined) return
    const update = makeUpdate(entry, replica.findVersion(this.service, this.pick))
    system.sent.push(update)
    deliver(system.node, update, entry)
    oracle.newest[this.service] = Math.max(oracle.newest[this.service], entry.version)
  }
}

class Repeat extends Step {
  override act (oracle: Oracle, system: System): void {
    const update = system.sent[this.pick % Math.max(1, system.sent.length)]
    if (update === undefined) return
    const service = update.service as Service
    const entry = system.versions[service][update.version - 1] as Entry
    deliver(system.node, update, entry)
    oracle.newest[service] = Math.max(oracle.newest[service], entry.version)
  }
}

/** The node restarts empty and takes the states of two peers, in any order. */
class Restart extends Step {
  override act (oracle: Oracle, system: System): void {
    system.applied.length = 0
    system.node = makeReceiver('node', entry => { system.applied.push(entry) })
    const asked = [this.getUpstream(system), system.upstreams[(this.upstream + 1 + this.pick % 2) % UPSTREAMS] as Receiver]
    for (const peer of asked) takeState(system.node, makeFetchAnswer(peer.replica))
    for (const service of SERVICES) oracle.newest[service] = Math.max(...asked.map(peer => readInForce(peer, service)))
  }
}

describe('versions in force', () => {
  test('never fall and are the highest that the node was shown', async () => {
    const steps = [Publish, Publish, Learn, Learn, Send, Send, Repeat, Restart].map(Kind =>
      fc.tuple(fc.constantFrom(...SERVICES), fc.nat(UPSTREAMS - 1), fc.nat(20)).map(([service, upstream, pick]) => new Kind(service, upstream, pick)))
    await fc.assert(fc.asyncProperty(fc.commands(steps, { maxCommands: 60, size: 'max' }), async commands => {
      const model: Oracle = { newest: { desk: 0, gallery: 0 }, published: { desk: 0, gallery: 0 } }
      await fc.asyncModelRun(() => ({ model, real: makeSystem() }), commands)
    }), readProofParameters(300))
  })
})
