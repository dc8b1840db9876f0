/**
 * P1, P2 and P3 on one node: in any order of arrival, with duplicates and invalid versions, the snapshot is consistent at
 * every moment, each service is at exactly one accepted version, and none reverts. Guards against a snapshot that mixes
 * versions, applies an older one, or keeps a route to a service that it does not have.
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

function isConsistent (entries: EntryMap): boolean {
  return [...entries.values()].every(({ document }) =>
    document === undefined || listReferences(document).every(name => entries.get(name)?.document !== undefined))
}

/** Each version in force is the complete document of one accepted edit. */
function expectAccepted (entries: EntryMap, writer: HistoryWriter): void {
  for (const { service, version, document } of entries.values()) {
    const edit = writer.objects.find(object => object.name === service && object.version === version)?.value as Edit
    expect(document).toEqual(edit.document)
  }
}

function expectNoRevert (before: EntryMap, after: EntryMap): void {
  for (const [service, { version }] of before) expect(after.get(service)?.version).toBeGreaterThanOrEqual(version)
}

function listVersions (entries: EntryMap): Record<string, number> {
  return Object.fromEntries([...entries].map(([service, { version }]) => [service, version]).sort())
}

function listValidVersions (writer: HistoryWriter): Record<string, number> {
  return Object.fromEntries([...writer.valid].map(([service, { version }]) => [service, version]).sort())
}

/** A rejected version is reported until a higher version arrives. */
function expectRejectionsKept (before: readonly RefusedVersion[], { refused, snapshotTable: table }: NodeState): void {
  for (const { service, version } of before) {
    const rejection = refused.find(rejected => rejected.service === service)
    const newest = Math.max(rejection?.version ?? 0, table.staged.get(service)?.version ?? 0)
    expect(newest).toBeGreaterThanOrEqual(version)
  }
}

/** Every combination of staged and in-force versions; the oracle for the largest consistent one. */
function listCombinations (staged: EntryMap, inForce: EntryMap): EntryMap[] {
  return [...staged].reduce<EntryMap[]>((combinations, [service, entry]) => combinations.flatMap(combination => {
    const current = inForce.get(service)
    const withCurrent = current === undefined ? combination : new Map([...combination, [service, current] as const])
    return current === entry ? [withCurrent] : [new Map([...combination, [service, entry] as const]), withCurrent]
  }), [new Map()])
}

function isLarger (candidate: EntryMap, chosen: EntryMap, staged: EntryMap): boolean {
  const services = [...staged.values()]
  return services.every(entry => chosen.get(entry.service) !== entry || candidate.get(entry.service) === entry) &&
    services.some(entry => chosen.get(entry.service) !== entry && candidate.get(entry.service) === entry)
}

/** Applies versions of single services, as from a source that has only these. */
function applyEntries (state: NodeState, entries: readonly Entry[]): void {
  applyConfiguration(state, { version: state.version + 1, entries: [...entries], replacesAll: false })
}

const arrivals = fc.array(fc.array(fc.nat(100), { minLength: 1, maxLength: 3 }), { maxLength: 25 })

test('the snapshot is consistent, complete and never reverts in any order of arrival', async () => {
  await fc.assert(fc.asyncProperty(historySteps, arrivals, async (steps, batches) => {
    const writer = writeHistory(steps)
    const valid = writer.objects.flatMap(object => convertStoredObject(object).unwrapOr<Entry | undefined>(undefined) ?? [])
    const state = makeState()
    const { snapshotTable: table } = state
    for (const batch of [...batches, ...writer.objects.map((_, index) => [index])]) {
      const before = table.current.entries
      applyEntries(state, batch.flatMap(index => valid[index % Math.max(1, valid.length)] ?? []))
      const { entries } = table.current
      expect(isConsistent(entries)).toBe(true)
      expectAccepted(entries, writer)
      expectNoRevert(before, entries)
      const larger = listCombinations(table.staged, before)
        .filter(combination => isConsistent(combination) && isLarger(combination, entries, table.staged))
      expect(larger.map(listVersions)).toEqual([])
    }
    expect(listVersions(table.current.entries)).toEqual(listValidVersions(writer))
  }), readPropertyParameters(1500))
})

test('a deletion that the selection first reverts takes effect when no selected version needs the service in the end', () => {
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

test('a deletion does not block a version that needs the service, when the service has to stay anyway', () => {
  const state = makeState()
  const writer = writeHistory(['d', 'a', 'e'].map(service => ({ service, needs: service === 'd' ? [] : ['d'], action: 'apply', deadlineMs: 1 })))
  applyEntries(state, writer.objects.map(object => convertStoredObject(object).unwrap()))
  const inForce = state.snapshotTable.current.entries
  const newer = { ...inForce.get('e') as Entry, version: 100 }
  const staged = new Map([...inForce, ['d', { service: 'd', version: 101, acceptedAt: 0, hash: '' }], ['e', newer]])
  expect(selectConsistent(staged, inForce).get('e')).toBe(newer)
})

/** `turns` is the number of event loop turns that the node runs before the next event. */
type RunEvent = { turns: number } & ({ type: 'step', step: HistoryStep } | { type: 'end' | 'expire' | 'lag' | 'restart' | 'fail' })

const turns = fc.nat(3)
const disturbance: fc.Arbitrary<RunEvent> = fc.record({ turns, type: fc.constantFrom('end' as const, 'expire' as const, 'lag' as const, 'restart' as const, 'fail' as const) })

const events: fc.Arbitrary<RunEvent[]> = historySteps.chain(steps => fc.tuple(...steps.map(step => fc.tuple(
  fc.record({ turns, type: fc.constant('step' as const), step: fc.constant(step) }),
  fc.array(disturbance, { maxLength: 2 })
))).map(pairs => pairs.flatMap(([step, others]) => [step, ...others])))

/** A node on a platform that ends watches, returns stale lists and fails calls. After `restart` the node has an empty state. */
class NodeRun {
  readonly store = new FakeStore()
  readonly writer = new HistoryWriter(this.store.objects)
  state = makeState()
  private stop = new AbortController()
  private running = Promise.resolve()

  /** Each call takes a turn of the event loop, so that changes occur between a list and its watch. */
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

  async handle (event: RunEvent): Promise<void> {
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

  async awaitSettled (): Promise<void> {
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
    const onUpdate = (update: ConfigurationUpdate): void => { if (update.kind === 'configuration') applyConfiguration(state, update.configuration) }
    const source = new DocumentSource(this.store, clock)
    const context = { source, clock, random: new SeededRandom(1), log: makeNullLog(), onUpdate, onSourceState: () => {} }
    await followConfiguration({ ...context, isReader: () => true, checkReader: async () => true, getKnownPosition: () => undefined }, signal)
  }
}

test('a node that lists and watches a failing platform ends with the last valid version of each service', async () => {
  await fc.assert(fc.asyncProperty(events, async steps => {
    const node = new NodeRun()
    node.start()
    for (const event of steps) {
      const { state } = node
      const before = state.snapshotTable.current.entries
      const refused = [...state.refused]
      await node.handle(event)
      const { entries } = state.snapshotTable.current
      expect(isConsistent(entries)).toBe(true)
      expectAccepted(entries, node.writer)
      expectNoRevert(before, entries)
      expectRejectionsKept(refused, state)
    }
    await node.awaitSettled()
    const { snapshotTable: table, refused } = node.state
    expect(listVersions(table.current.entries)).toEqual(listValidVersions(node.writer))
    const invalidObjects = node.store.objects.list('service').objects.filter(object => convertStoredObject(object).err)
    expect(refused.map(rejected => [rejected.service, rejected.version]).sort())
      .toEqual(invalidObjects.map(object => [object.name, object.version]).sort())
    await node.end()
  }), readPropertyParameters(300))
})
