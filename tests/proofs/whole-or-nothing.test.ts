/**
 * P1, P2 and P3 on one node: under any order of arrival, with duplicates and invalid versions, the
 * snapshot is at every moment closed, each service is at exactly one accepted version, and none
 * goes back. Guards against a snapshot that mixes versions, takes an older one, or keeps a route to
 * a service that it does not have.
 */
import { setImmediate as settle } from 'node:timers/promises'
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { DocumentSource } from '../../src/configuration/index.js'
import type { RefusedVersion, ConfigurationUpdate } from '../../src/configuration/index.js'
import { SeededRandom } from '../../src/core/index.js'
import { convertStoredObject, listReferences } from '../../src/document/index.js'
import type { Edit } from '../../src/document/index.js'
import { applyConfiguration } from '../../src/node/commands/apply.js'
import type { NodeState } from '../../src/node/state.js'
import { followConfiguration } from '../../src/node/tasks/configuration.js'
import { selectConsistent } from '../../src/snapshot/index.js'
import type { Entry, EntryMap } from '../../src/snapshot/index.js'
import { EventLoopClock } from '../fixtures/clock.js'
import { makeEntry } from '../fixtures/entry.js'
import { HistoryWriter, historySteps, writeHistory } from '../fixtures/history.js'
import type { HistoryStep } from '../fixtures/history.js'
import { readPropertyParameters } from '../fixtures/property.js'
import { makeNullLog } from '../fixtures/log.js'
import { makeState } from '../fixtures/state.js'
import { FakeStore } from '../fixtures/store.js'

function isClosed (entries: EntryMap): boolean {
  return [...entries.values()].every(({ document }) =>
    document === undefined || listReferences(document).every(name => entries.get(name)?.document !== undefined))
}

/** Each version in force is what one accepted edit says, whole. */
function expectAccepted (entries: EntryMap, writer: HistoryWriter): void {
  for (const { service, version, document } of entries.values()) {
    const edit = writer.objects.find(object => object.name === service && object.version === version)?.value as Edit
    expect(document).toEqual(edit.document)
  }
}

function expectNoneBack (before: EntryMap, after: EntryMap): void {
  for (const [service, { version }] of before) expect(after.get(service)?.version).toBeGreaterThanOrEqual(version)
}

function listVersions (entries: EntryMap): Record<string, number> {
  return Object.fromEntries([...entries].map(([service, { version }]) => [service, version]).sort())
}

function listGood (writer: HistoryWriter): Record<string, number> {
  return Object.fromEntries([...writer.valid].map(([service, { version }]) => [service, version]).sort())
}

/** A refusal is shown until a higher version comes. */
function expectRefusalsKept (before: readonly RefusedVersion[], { refused, snapshotTable: table }: NodeState): void {
  for (const { service, version } of before) {
    const refusal = refused.find(one => one.service === service)
    const newest = Math.max(refusal?.version ?? 0, table.staged.get(service)?.version ?? 0)
    expect(newest).toBeGreaterThanOrEqual(version)
  }
}

/** Every choice of staged and in-force versions; the oracle for the largest closed one. */
function listChoices (staged: EntryMap, inForce: EntryMap): EntryMap[] {
  return [...staged].reduce<EntryMap[]>((choices, [service, entry]) => choices.flatMap(choice => {
    const held = inForce.get(service)
    const others = held === undefined ? choice : new Map([...choice, [service, held] as const])
    return held === entry ? [others] : [new Map([...choice, [service, entry] as const]), others]
  }), [new Map()])
}

function isLarger (one: EntryMap, other: EntryMap, staged: EntryMap): boolean {
  const services = [...staged.values()]
  return services.every(entry => other.get(entry.service) !== entry || one.get(entry.service) === entry) &&
    services.some(entry => other.get(entry.service) !== entry && one.get(entry.service) === entry)
}

/** Versions of single services, as a source that knows only these would show them. */
function takeEntries (state: NodeState, entries: readonly Entry[]): void {
  applyConfiguration(state, { version: state.version + 1, entries: [...entries], replacesAll: false })
}

const arrivals = fc.array(fc.array(fc.nat(100), { minLength: 1, maxLength: 3 }), { maxLength: 25 })

test('the snapshot is closed, whole and never goes back under any order of arrival', async () => {
  await fc.assert(fc.asyncProperty(historySteps, arrivals, async (list, batches) => {
    const writer = writeHistory(list)
    const valid = writer.objects.flatMap(object => convertStoredObject(object).unwrapOr<Entry | undefined>(undefined) ?? [])
    const state = makeState()
    const { snapshotTable: table } = state
    for (const batch of [...batches, ...writer.objects.map((_, index) => [index])]) {
      const before = table.current.entries
      takeEntries(state, batch.flatMap(index => valid[index % Math.max(1, valid.length)] ?? []))
      const { entries } = table.current
      expect(isClosed(entries)).toBe(true)
      expectAccepted(entries, writer)
      expectNoneBack(before, entries)
      const larger = listChoices(table.staged, before).filter(choice => isClosed(choice) && isLarger(choice, entries, table.staged))
      expect(larger.map(listVersions)).toEqual([])
    }
    expect(listVersions(table.current.entries)).toEqual(listGood(writer))
  }), readPropertyParameters(1500))
})

test('a deletion that was put back for a while takes effect when nothing needs the service in the end', () => {
  const needs: Record<string, string[]> = { d: [], f: [], a: ['d'], b: ['f'] }
  const writer = writeHistory(Object.keys(needs).map(service => ({ service, needs: needs[service] ?? [], action: 'apply', deadlineMs: 1 })))
  const inForce = new Map(writer.objects.map(object => [object.name, convertStoredObject(object).unwrap()]))
  const deletions = ['d', 'f'].map(service => [service, { service, version: 100, acceptedAt: 0, hash: '' }] as const)
  const newer = makeEntry('a', 101, { needs: ['f'] })
  const chosen = selectConsistent(new Map([...inForce, ...deletions, ['a', newer]]), inForce)
  expect(chosen.get('a')).toBe(newer)
  expect(chosen.get('d')?.document).toBeUndefined()
  expect(chosen.get('f')).toBe(inForce.get('f'))
})

test('a deletion does not hold back a version that needs the service, when the service has to stay anyway', () => {
  const state = makeState()
  const writer = writeHistory(['d', 'a', 'e'].map(service => ({ service, needs: service === 'd' ? [] : ['d'], action: 'apply', deadlineMs: 1 })))
  takeEntries(state, writer.objects.map(object => convertStoredObject(object).unwrap()))
  const inForce = state.snapshotTable.current.entries
  const newer = { ...inForce.get('e') as Entry, version: 100 }
  const staged = new Map([...inForce, ['d', { service: 'd', version: 101, acceptedAt: 0, hash: '' }], ['e', newer]])
  expect(selectConsistent(staged, inForce).get('e')).toBe(newer)
})

/** `turns` is how long the node may go on before the next event. */
type Event = { turns: number } & ({ type: 'step', step: HistoryStep } | { type: 'end' | 'expire' | 'lag' | 'restart' | 'fail' })

const turns = fc.nat(3)
const disturbance: fc.Arbitrary<Event> = fc.record({ turns, type: fc.constantFrom('end' as const, 'expire' as const, 'lag' as const, 'restart' as const, 'fail' as const) })

const events: fc.Arbitrary<Event[]> = historySteps.chain(list => fc.tuple(...list.map(step => fc.tuple(
  fc.record({ turns, type: fc.constant('step' as const), step: fc.constant(step) }),
  fc.array(disturbance, { maxLength: 2 })
))).map(pairs => pairs.flatMap(([step, others]) => [step, ...others])))

/** A node on a platform that loses watches, lags with lists and fails calls; `restart` is one that starts fresh. */
class NodeRun {
  readonly store = new FakeStore()
  readonly writer = new HistoryWriter(this.store.objects)
  state = makeState()
  private stop = new AbortController()
  private running = Promise.resolve()

  /** Each call takes a turn of the event loop, so that changes come between a list and its watch. */
  constructor () {
    const { plan } = this.store
    this.store.plan = async call => {
      await settle()
      return await plan(call)
    }
  }

  start (): void {
    this.stop = new AbortController()
    this.running = this.run(this.state, this.stop.signal)
  }

  async end (): Promise<void> {
    this.stop.abort()
    this.store.endWatches()
    await this.running
  }

  async handle (event: Event): Promise<void> {
    const { store } = this
    if (event.type === 'step') this.writer.apply(event.step)
    else if (event.type === 'lag') store.faults.lagLists = 3
    else if (event.type === 'fail') store.faults.down = true
    else if (event.type === 'restart') await this.restart()
    if (event.type === 'expire') store.objects.discardEvents()
    if (event.type === 'end' || event.type === 'expire' || event.type === 'fail') store.endWatches()
    for (let turn = 0; turn < event.turns; turn += 1) await settle()
    store.faults.down = false
  }

  async settleAll (): Promise<void> {
    this.store.faults.lagLists = 0
    this.store.endWatches()
    for (let turn = 0; turn < 60; turn += 1) await settle()
  }

  private async restart (): Promise<void> {
    await this.end()
    this.state = makeState()
    this.start()
  }

  private async run (state: NodeState, signal: AbortSignal): Promise<void> {
    const clock = new EventLoopClock()
    const onSighting = (sighting: ConfigurationUpdate): void => { if (sighting.kind === 'configuration') applyConfiguration(state, sighting.configuration) }
    const source = new DocumentSource(this.store, clock)
    await followConfiguration({ source, clock, random: new SeededRandom(1), log: makeNullLog(), onSighting, onSource: () => {} }, signal)
  }
}

test('a node that lists and watches a failing platform ends with the last good version of each service', async () => {
  await fc.assert(fc.asyncProperty(events, async list => {
    const node = new NodeRun()
    node.start()
    for (const event of list) {
      const { state } = node
      const before = state.snapshotTable.current.entries
      const refused = [...state.refused]
      await node.handle(event)
      const { entries } = state.snapshotTable.current
      expect(isClosed(entries)).toBe(true)
      expectAccepted(entries, node.writer)
      expectNoneBack(before, entries)
      expectRefusalsKept(refused, state)
    }
    await node.settleAll()
    const { snapshotTable: table, refused } = node.state
    expect(listVersions(table.current.entries)).toEqual(listGood(node.writer))
    const broken = node.store.objects.list('service').objects.filter(object => convertStoredObject(object).err)
    expect(refused.map(one => [one.service, one.version]).sort()).toEqual(broken.map(one => [one.name, one.version]).sort())
    await node.end()
  }), readPropertyParameters(300))
})
