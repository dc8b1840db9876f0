/**
 * P7: a target that leaves, falls silent or is on a draining host gets no new work: at once from
 * its own node, and from every node that can be reached once their tables are compared. Guards
 * against records taken out of order, answers that never come, and removed records that come back.
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

/** What is true of a host, whatever any node believes. */
interface Truth { dead: boolean, draining: boolean, state: TargetState | undefined, silent: boolean, heardAt: number }

class World {
  readonly clock: ManualClock = makeClock()
  readonly members: Member[] = ZONES.map((_zone, index) => this.makeMember(index, START_INCARNATION))
  readonly truths: Truth[] = ZONES.map(() => ({ dead: false, draining: false, state: undefined, silent: false, heardAt: 0 }))
  /** All records that ever existed; the network may deliver each again, to anyone, at any time. */
  readonly sent = new Map<string, HostRecord>()
  /** Marks that a node set on a host that it took for gone. */
  readonly overlays = new Set<string>()
  cut = false

  makeMember (index: number, incarnation: number): Member {
    return makeMember({ host: `h${index}`, zone: ZONES[index] ?? '', incarnation, clock: this.clock, find: (_caller, host) => this.members[Number(host.slice(1))]?.peers })
  }

  getMember (index: number): Member {
    const member = this.members[index]
    if (member === undefined) throw new Error(`no member ${index}`)
    return member
  }

  getTruth (index: number): Truth {
    const truth = this.truths[index]
    if (truth === undefined) throw new Error(`no host ${index}`)
    return truth
  }

  isUsable (index: number): boolean {
    const truth = this.getTruth(index)
    const heard = this.clock.monotonic() - truth.heardAt < HEARTBEAT_TIMEOUT_MS
    return !truth.dead && !truth.draining && heard && (truth.state === 'ready' || truth.state === 'starting')
  }

  isReachable (left: number, right: number): boolean {
    const alive = !this.getTruth(left).dead && !this.getTruth(right).dead
    return alive && !(this.cut && ZONES[left] !== ZONES[right])
  }

  announce (index: number, state: TargetState): void {
    const truth = this.getTruth(index)
    if (truth.dead) return
    Object.assign(truth, { state, silent: false, heardAt: this.clock.monotonic() })
    this.getMember(index).announce(state)
  }

  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS)
      this.truths.forEach(({ state, silent }, index) => { if (state !== undefined && !silent) this.announce(index, state) })
      await settleTasks()
      this.keepRecords()
    }
  }

  keepRecords (): void {
    for (const { state } of this.members) for (const record of state.members.list()) this.sent.set(`${record.host} ${formatRecordStamp(record)}`, record)
  }

  restart (index: number, incarnation: number): void {
    this.getMember(index).stop()
    this.members[index] = this.makeMember(index, incarnation)
    Object.assign(this.getTruth(index), { dead: false, draining: false, state: undefined })
  }

  /** Each node compares tables with each other that it reaches, until answers to overlays have spread too. */
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

  async checkOwnNodes (): Promise<void> {
    for (const [index, truth] of this.truths.entries()) {
      if (truth.dead) continue
      const { host, state: { members, localHost: own } } = this.getMember(index)
      expect([index, await this.getMember(index).isAdmitted()]).toEqual([index, this.isUsable(index)])
      expect(members.get(host)).toBe(own.newestRecord)
    }
  }

  /** Each node picks exactly the usable targets that it reaches, and holds their owners' newest records. */
  checkOthers (): void {
    for (const [viewer, index] of this.listPairs()) {
      const { state } = this.getMember(viewer)
      const host = `h${index}`
      const place = { viewer, host, ...this.getTruth(index) }
      expect({ ...place, picked: this.getMember(viewer).listPicks().includes(host) }).toEqual({ ...place, picked: this.isUsable(index) })
      expect(state.members.get(host)).toEqual(this.getMember(index).state.localHost.newestRecord)
    }
  }

  /** What a node holds of a host never goes back to an older record, also after the host was removed. */
  checkOrder (): void {
    for (const member of this.members) {
      for (const [host, highest] of member.highest) {
        const held = member.state.members.findNewest(host)
        expect(held === undefined ? -1 : compareRecords(held, highest)).toBeGreaterThanOrEqual(0)
      }
      member.recordHighest()
    }
  }

  /** A host is removed only where a node took it for gone. */
  checkOverlays (): void {
    for (const { state } of this.members) {
      for (const { record } of state.members.listTombstones()) expect(this.overlays).toContain(`${record.host} ${formatRecordStamp(record)}`)
    }
  }

  stop (): void {
    for (const member of this.members) member.stop()
  }
}

type Model = Record<string, never>

function defineStep (name: string, run: (world: World) => Promise<void> | void): fc.AsyncCommand<Model, World> {
  return {
    check: () => true,
    run: async (_model, world) => {
      await run(world)
      await settleTasks()
      world.keepRecords()
      await world.checkOwnNodes()
      world.checkOverlays()
      world.checkOrder()
    },
    toString: () => name
  }
}

/** Any node may take another for gone, also one that lives. */
function markGone (world: World, by: number, index: number): void {
  const { state } = world.getMember(by)
  const record = state.members.get(`h${index}`)
  if (record === undefined || by === index) return
  const gone = makeTombstone(record)
  world.overlays.add(`${gone.host} ${formatRecordStamp(gone)}`)
  storeRecords(state, { records: [gone] }, world.clock)
}

function replay (world: World, to: number, number: number): void {
  const records = [...world.sent.values()]
  const record = records[number % Math.max(1, records.length)]
  if (record !== undefined && !world.getTruth(to).dead) storeRecords(world.getMember(to).state, { records: [record], from: 'network' }, world.clock)
}

const host = fc.nat(ZONES.length - 1)
const commands = [
  fc.tuple(host, fc.constantFrom<TargetState>('starting', 'ready', 'leaving')).map(([index, state]) =>
    defineStep(`announce h${index} ${state}`, world => { world.announce(index, state) })),
  host.map(index => defineStep(`silence h${index}`, world => { world.getTruth(index).silent = true })),
  host.map(index => defineStep(`drain h${index}`, world => {
    if (world.getTruth(index).dead) return
    world.getTruth(index).draining = true
    const member = world.getMember(index)
    member.publish(markHostLeaving(member.state.localHost))
  })),
  fc.tuple(host, fc.integer({ min: -5, max: 5 })).map(([index, step]) =>
    defineStep(`restart h${index} ${step}`, world => { world.restart(index, START_INCARNATION + step) })),
  host.map(index => defineStep(`kill h${index}`, world => {
    world.getMember(index).stop()
    Object.assign(world.getTruth(index), { dead: true, state: undefined })
  })),
  fc.tuple(host, host).map(([by, index]) => defineStep(`h${by} takes h${index} for gone`, world => { markGone(world, by, index) })),
  fc.tuple(host, fc.nat(1_000)).map(([to, number]) => defineStep(`replay ${number} to h${to}`, world => { replay(world, to, number) })),
  fc.boolean().map(cut => defineStep(cut ? 'cut' : 'heal', world => { world.cut = cut })),
  fc.nat(8).map(steps => defineStep(`wait ${steps}`, async world => { await world.advance(steps * STEP_MS) })),
  fc.constant(defineStep('reconcile', async world => {
    await world.reconcile()
    world.checkOthers()
  }))
]

describe('no new work', () => {
  test('holds over any order of records, removals, restarts and cuts', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 60, size: 'max' }), async steps => {
      const world = new World()
      try {
        await fc.asyncModelRun(() => ({ model: {}, real: world }), steps)
        await world.reconcile()
        world.checkOthers()
      } finally {
        world.stop()
      }
    }), readPropertyParameters())
  })

  test('a process that restarts in the same millisecond outranks the records of the one before', async () => {
    const clock = makeClock()
    const members = new Map<string, Member>()
    const start = (host: string): Member => {
      const member = makeMember({ host, zone: 'a', incarnation: 1, clock, find: (_caller, address) => members.get(address)?.peers })
      members.set(host, member)
      return member
    }
    const before = start('h0')
    const viewer = start('h1')
    before.announce('ready')
    await exchangeRecords(before, viewer)
    before.stop()
    const after = start('h0')
    after.announce('leaving')
    await exchangeRecords(viewer, after)
    expect(after.state.members.get('h0')).toBe(after.state.localHost.newestRecord)
    await settleTasks()
    await exchangeRecords(viewer, after)
    expect(viewer.listPicks()).toEqual([])
    for (const member of [viewer, after]) member.stop()
  })

  test('a starting target gets work only while no ready one exists', async () => {
    const clock = makeClock()
    const [viewer, other] = ['a', 'a'].map((zone, index) => makeMember({ host: `h${index}`, zone, incarnation: 1, clock })) as [Member, Member]
    viewer.announce('starting')
    other.announce('ready')
    storeRecords(viewer.state, { records: [other.state.localHost.makeRecord()] }, clock)
    const targets = viewer.state.snapshotTable.current.targets.get(SERVICE) ?? []
    const pick = (tried: string[]): string | undefined => viewer.picker.pick({ targets, tried: new Set(tried), needsFreeSlot: false, zones: 'any' })?.host
    expect([pick([]), pick(['h1/t'])]).toEqual(['h1', 'h0'])
    for (const member of [viewer, other]) member.stop()
  })
})
