/**
 * `bench capacity`: measures the memory, processing time and message sizes of one node in this process, at several
 * fleet sizes up to the size to design for. The slopes between the sizes give the cost of a service, a host and a change.
 */
import { hashValue, SystemClock } from '../../src/core/index.js'
import { applyConfiguration } from '../../src/node/commands/apply.js'
import { storeRecords } from '../../src/node/commands/records.js'
import { makeExchangeResponse } from '../../src/node/queries/difference.js'
import { NodeState } from '../../src/node/state.js'
import { MsgpackCodec } from '../../src/peer/index.js'
import type { Entry } from '../../src/snapshot/index.js'
import { makeBenchDocument } from './document.js'
import { makeBenchRecord } from './record.js'

const FLEET_SIZES = [{ services: 85, hosts: 2_900 }, { services: 425, hosts: 14_500 }, { services: 850, hosts: 29_000 }]
const ZONE_COUNT = 11
const CHANGE_COUNT = 500

export interface CapacityRow {
  services: number
  hosts: number
  heapMb: number
  documentChangeMs: number
  recordChangeMs: number
  documentBytes: number
  recordBytes: number
  configurationBytes: number
  configurationMs: number
}

const clock = new SystemClock()

function makeEntry (service: string, version: number): Entry {
  const document = makeBenchDocument(service, version)
  return { service, version, acceptedAt: 0, hash: hashValue(document), document }
}

function readHeapMb (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed / 1024 / 1024
}

function measureMeanMs (runCount: number, run: (index: number) => void): number {
  const startedAt = performance.now()
  for (let index = 0; index < runCount; index += 1) run(index)
  return (performance.now() - startedAt) / runCount
}

function measureSize (services: number, hosts: number): CapacityRow {
  const codec = new MsgpackCodec()
  const fleetShape = { zones: ZONE_COUNT, services }
  const heapBeforeMb = readHeapMb()
  const state = new NodeState({ ...makeBenchRecord(hosts, fleetShape), incarnation: 1 }, clock)
  const entries = Array.from({ length: services }, (_, index) => makeEntry(`service-${index}`, index + 1))
  applyConfiguration(state, { version: 1, entries, replacesAll: false })
  storeRecords(state, { records: Array.from({ length: hosts }, (_, index) => makeBenchRecord(index, fleetShape)) }, clock)
  const heapMb = readHeapMb() - heapBeforeMb
  const changedEntries = Array.from({ length: CHANGE_COUNT }, (_, index) => makeEntry(`service-${index % services}`, services + 1 + index))
  const changedRecords = Array.from({ length: CHANGE_COUNT }, (_, index) => makeBenchRecord(index, fleetShape, 2))
  const documentChangeMs = measureMeanMs(CHANGE_COUNT, index => {
    applyConfiguration(state, { version: 2 + index, entries: changedEntries.slice(index, index + 1), replacesAll: false })
  })
  const recordChangeMs = measureMeanMs(CHANGE_COUNT, index => { storeRecords(state, { records: changedRecords.slice(index, index + 1) }, clock) })
  const request = { host: 'bench', version: 0, wantsConfiguration: true, zones: {}, records: [], complete: {}, cleared: [], stamp: { wall: 0, counter: 0 } }
  applyConfiguration(state, { version: CHANGE_COUNT + 2, entries, replacesAll: false })
  const startedAt = performance.now()
  const configurationBytes = codec.encode(makeExchangeResponse(state, request)).length
  return {
    services,
    hosts,
    heapMb,
    documentChangeMs,
    recordChangeMs,
    documentBytes: codec.encode(changedEntries[0]).length,
    recordBytes: codec.encode(changedRecords[0]).length,
    configurationBytes,
    configurationMs: performance.now() - startedAt
  }
}

export async function runCapacity (): Promise<CapacityRow[]> {
  return FLEET_SIZES.map(({ services, hosts }) => {
    const row = measureSize(services, hosts)
    process.stdout.write(`${JSON.stringify(row)}\n`)
    return row
  })
}
