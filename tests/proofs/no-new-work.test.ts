/**
 * P7: a target that leaves, whose heartbeats stop or whose host drains receives no new requests: immediately from
 * its local node, and from every reachable node after the nodes have exchanged their tables. Guards against records
 * that are stored out of order, responses that never arrive, and removed records that return.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { HostRecord, TargetState } from '../../src/membership/index.js'
import { HEARTBEAT_TIMEOUT_MS, compareRecords, formatRecordStamp, markHostLeaving, makeTombstone } from '../../src/membership/index.js'
import { storeRecords } from '../../src/node/commands/records.js'
import { makeClock } from '../fixtures/clock.js'
import type { ManualClock } from '../fixtures/clock.js'
import { exchangeRecords, makeMember, SERVICE, settleTasks } from '../fixtures/member.js'
import type { Member } from '../fixtures/member.js'
import { readPropertyParameters } from '../fixtures/property.js'

const ZONES = ['a', 'a', 'a', 'b', 'b']
const STEP_MS = 500
const START_INCARNATION = 1_000

/** The actual state of a host, independent of what any node has stored. */
interface ActualHost {
  dead: boolean
  draining: boolean
  state: TargetState | undefined
  heartbeatsStopped: boolean
  lastHeartbeatAt: number
}

class TestCluster {
  readonly clock: ManualClock = makeClock()
  readonly members: Member[] = ZONES.map((_zone, index) => this.makeMember(index, START_INCARNATION))
  readonly actualHosts: ActualHost[] = ZONES.map(() =>
    ({ dead: false, draining: false, state: undefined, heartbeatsStopped: false, lastHeartbeatAt: 0 }))

  /** All records that ever existed. The network may deliver each of them again, to any node, at any time. */
  readonly sent = new Map<string, HostRecord>()
  /** Tombstones that nodes set for hosts that they considered gone. */
  readonly tombstones = new Set<string>()
  isPartitioned = false

  makeMember (index: number, incarnation: number): Member {
    return makeMember({
      host: `h${index}`,
      zone: ZONES[index] ?? '',
      incarnation,
      clock: this.clock,
      find: (_caller, host) => this.members[Number(host.slice(1))]?.peers
    })
  }

  getMember (index: number): Member {
    const member = this.members[index]
    if (member === undefined) throw new Error(`no member ${index}`)
    return member
  }

  getHost (index: number): ActualHost {
    const actualHost = this.actualHosts[index]
    if (actualHost === undefined) throw new Error(`no host ${index}`)
    return actualHost
  }

  isUsable (index: number): boolean {
    const actualHost = this.getHost(index)
    const hasHeartbeat = this.clock.monotonic() - actualHost.lastHeartbeatAt < HEARTBEAT_TIMEOUT_MS
    return !actualHost.dead && !actualHost.draining && hasHeartbeat && (actualHost.state === 'ready' || actualHost.state === 'starting')
  }

  isReachable (left: number, right: number): boolean {
    const alive = !this.getHost(left).dead && !this.getHost(right).dead
    return alive && !(this.isPartitioned && ZONES[left] !== ZONES[right])
  }

  announce (index: number, state: TargetState): void {
    const actualHost = this.getHost(index)
    if (actualHost.dead) return
    Object.assign(actualHost, { state, heartbeatsStopped: false, lastHeartbeatAt: this.clock.monotonic() })
    this.getMember(index).announce(state)
  }

  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS)
      this.actualHosts.forEach(({ state, heartbeatsStopped }, index) => {
        if (state !== undefined && !heartbeatsStopped) this.announce(index, state)
      })
      await settleTasks()
      this.collectRecords()
    }
  }

  collectRecords (): void {
    for (const { state } of this.members) for (const record of state.members.list()) this.sent.set(`${record.host} ${formatRecordStamp(record)}`, record)
  }

  restart (index: number, incarnation: number): void {
    this.getMember(index).stop()
    this.members[index] = this.makeMember(index, incarnation)
    Object.assign(this.getHost(index), { dead: false, draining: false, state: undefined })
  }

  /** Each node exchanges tables with every node that it reaches, until the records that supersede tombstones have propagated too. */
  async reconcile (): Promise<void> {
    for (let round = 0; round < 3; round += 1) {
      await this.advance(2 * STEP_MS)
      for (const [left, right] of this.listPairs()) await exchangeRecords(this.getMember(left), this.getMember(right))
      await settleTasks()
    }
    for (const [left, right] of this.listPairs()) await exchangeRecords(this.getMember(left), this.getMember(right))
  }

  listPairs (): Array<[number, number]> {
    const pairs = ZONES.flatMap((_left, left) => ZONES.map((_right, right): [number, number] => [left, right]))
    return pairs.filter(([left, right]) => left !== right && this.isReachable(left, right))
  }

  async checkLocalNodes (): Promise<void> {
    for (const [index, actualHost] of this.actualHosts.entries()) {
      if (actualHost.dead) continue
      const { host, state: { members, localHost } } = this.getMember(index)
      expect([index, await this.getMember(index).isAdmitted()]).toEqual([index, this.isUsable(index)])
      expect(members.get(host)).toBe(localHost.newestRecord)
    }
  }

  /** Each node picks exactly the usable targets that it reaches, and has the newest record of each reachable host. */
  checkRemoteNodes (): void {
    for (const [viewer, index] of this.listPairs()) {
      const { state } = this.getMember(viewer)
      const host = `h${index}`
      const place = { viewer, host, ...this.getHost(index) }
      expect({ ...place, picked: this.getMember(viewer).listPicks().includes(host) }).toEqual({ ...place, picked: this.isUsable(index) })
      expect(state.members.get(host)).toEqual(this.getMember(index).state.localHost.newestRecord)
    }
  }

  /** The record that a node has of a host is never replaced by an older one, not even after the host was removed. */
  checkOrder (): void {
    for (const member of this.members) {
      for (const [host, highest] of member.highest) {
        const stored = member.state.members.findNewest(host)
        expect(stored === undefined ? -1 : compareRecords(stored, highest)).toBeGreaterThanOrEqual(0)
      }
      member.recordHighest()
    }
  }

  /** A host has a tombstone only where a node considered it gone. */
  checkTombstones (): void {
    for (const { state } of this.members) {
      for (const { record } of state.members.listTombstones()) expect(this.tombstones).toContain(`${record.host} ${formatRecordStamp(record)}`)
    }
  }

  stop (): void {
    for (const member of this.members) member.stop()
  }
}

type Model = Record<string, never>

function defineStep (name: string, run: (cluster: TestCluster) => Promise<void> | void): fc.AsyncCommand<Model, TestCluster> {
  return {
    check: () => true,
    run: async (_model, cluster) => {
      await run(cluster)
      await settleTasks()
      cluster.collectRecords()
      await cluster.checkLocalNodes()
      cluster.checkTombstones()
      cluster.checkOrder()
    },
    toString: () => name
  }
}

/** Any node may consider another host gone, even one that is alive. */
function markGone (cluster: TestCluster, by: number, index: number): void {
  const { state } = cluster.getMember(by)
  const record = state.members.get(`h${index}`)
  if (record === undefined || by === index) return
  const tombstone = makeTombstone(record)
  cluster.tombstones.add(`${tombstone.host} ${formatRecordStamp(tombstone)}`)
  storeRecords(state, { records: [tombstone] }, cluster.clock)
}

function replay (cluster: TestCluster, to: number, recordNumber: number): void {
  const records = [...cluster.sent.values()]
  const record = records[recordNumber % Math.max(1, records.length)]
  if (record !== undefined && !cluster.getHost(to).dead) storeRecords(cluster.getMember(to).state, { records: [record], from: 'network' }, cluster.clock)
}

const host = fc.nat(ZONES.length - 1)
const commands = [
  fc.tuple(host, fc.constantFrom<TargetState>('starting', 'ready', 'leaving')).map(([index, state]) =>
    defineStep(`announce h${index} ${state}`, cluster => { cluster.announce(index, state) })),
  host.map(index => defineStep(`stop heartbeats of h${index}`, cluster => { cluster.getHost(index).heartbeatsStopped = true })),
  host.map(index => defineStep(`drain h${index}`, cluster => {
    if (cluster.getHost(index).dead) return
    cluster.getHost(index).draining = true
    const member = cluster.getMember(index)
    member.publish(markHostLeaving(member.state.localHost))
  })),
  fc.tuple(host, fc.integer({ min: -5, max: 5 })).map(([index, step]) =>
    defineStep(`restart h${index} ${step}`, cluster => { cluster.restart(index, START_INCARNATION + step) })),
  host.map(index => defineStep(`kill h${index}`, cluster => {
    cluster.getMember(index).stop()
    Object.assign(cluster.getHost(index), { dead: true, state: undefined })
  })),
  fc.tuple(host, host).map(([by, index]) => defineStep(`h${by} considers h${index} gone`, cluster => { markGone(cluster, by, index) })),
  fc.tuple(host, fc.nat(1_000)).map(([to, number]) => defineStep(`replay ${number} to h${to}`, cluster => { replay(cluster, to, number) })),
  fc.boolean().map(isPartitioned => defineStep(isPartitioned ? 'cut' : 'heal', cluster => { cluster.isPartitioned = isPartitioned })),
  fc.nat(8).map(steps => defineStep(`wait ${steps}`, async cluster => { await cluster.advance(steps * STEP_MS) })),
  fc.constant(defineStep('reconcile', async cluster => {
    await cluster.reconcile()
    cluster.checkRemoteNodes()
  }))
]

describe('no new work', () => {
  test('holds in any order of records, removals, restarts and network partitions', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 60, size: 'max' }), async steps => {
      const cluster = new TestCluster()
      try {
        await fc.asyncModelRun(() => ({ model: {}, real: cluster }), steps)
        await cluster.reconcile()
        cluster.checkRemoteNodes()
      } finally {
        cluster.stop()
      }
    }), readPropertyParameters())
  })

  test('the records of a process that restarts in the same millisecond supersede those of the previous process', async () => {
    const clock = makeClock()
    const members = new Map<string, Member>()
    const start = (host: string): Member => {
      const member = makeMember({ host, zone: 'a', incarnation: 1, clock, find: (_caller, peerHost) => members.get(peerHost)?.peers })
      members.set(host, member)
      return member
    }
    const previous = start('h0')
    const viewer = start('h1')
    previous.announce('ready')
    await exchangeRecords(previous, viewer)
    previous.stop()
    const restarted = start('h0')
    restarted.announce('leaving')
    await exchangeRecords(viewer, restarted)
    expect(restarted.state.members.get('h0')).toBe(restarted.state.localHost.newestRecord)
    await settleTasks()
    await exchangeRecords(viewer, restarted)
    expect(viewer.listPicks()).toEqual([])
    for (const member of [viewer, restarted]) member.stop()
  })

  test('a starting target receives requests only while no ready target is available', async () => {
    const clock = makeClock()
    const [viewer, other] = ['a', 'a'].map((zone, index) => makeMember({ host: `h${index}`, zone, incarnation: 1, clock })) as [Member, Member]
    viewer.announce('starting')
    other.announce('ready')
    storeRecords(viewer.state, { records: [other.state.localHost.makeRecord()] }, clock)
    const targets = viewer.state.snapshotTable.current.targets.get(SERVICE) ?? []
    const pick = (tried: string[]): string | undefined =>
      viewer.picker.pick({ targets, tried: new Set(tried), needsFreeSlot: false, zones: 'any' })?.host
    expect([pick([]), pick(['h1/t'])]).toEqual(['h1', 'h0'])
    for (const member of [viewer, other]) member.stop()
  })
})
