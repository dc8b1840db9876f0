/**
 * `bench capacity`: what one node holds and spends, as slopes for each service, host and change,
 * measured in this process at several sizes up to the size to design for.
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

const SIZES = [{ services: 85, hosts: 2_900 }, { services: 425, hosts: 14_500 }, { services: 850, hosts: 29_000 }]
const ZONES = 11
const CHANGES = 500

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

function measureMs (times: number, run: (index: number) => void): number {
  const startedAt = performance.now()
  for (let index = 0; index < times; index += 1) run(index)
  return (performance.now() - startedAt) / times
}

function measureSize (services: number, hosts: number): CapacityRow {
  const codec = new MsgpackCodec()
  const place = { zones: ZONES, services }
  const heapBefore = readHeapMb()
  const state = new NodeState({ ...makeBenchRecord(hosts, place), incarnation: 1 }, clock)
  const entries = Array.from({ length: services }, (_, index) => makeEntry(`service-${index}`, index + 1))
  applyConfiguration(state, { version: 1, entries, replacesAll: false })
  storeRecords(state, { records: Array.from({ length: hosts }, (_, index) => makeBenchRecord(index, place)) }, clock)
  const heapMb = readHeapMb() - heapBefore
  const changed = Array.from({ length: CHANGES }, (_, index) => makeEntry(`service-${index % services}`, services + 1 + index))
  const records = Array.from({ length: CHANGES }, (_, index) => makeBenchRecord(index, place, 2))
  const documentChangeMs = measureMs(CHANGES, index => {
    applyConfiguration(state, { version: 2 + index, entries: changed.slice(index, index + 1), replacesAll: false })
  })
  const recordChangeMs = measureMs(CHANGES, index => { storeRecords(state, { records: records.slice(index, index + 1) }, clock) })
  const request = { host: 'bench', version: 0, zones: {}, records: [], complete: {}, marks: [], cleared: [], stamp: { wall: 0, counter: 0 } }
  applyConfiguration(state, { version: CHANGES + 2, entries, replacesAll: false })
  const startedAt = performance.now()
  const configurationBytes = codec.encode(makeExchangeResponse(state, request)).length
  return {
    services,
    hosts,
    heapMb,
    documentChangeMs,
    recordChangeMs,
    documentBytes: codec.encode(changed[0]).length,
    recordBytes: codec.encode(records[0]).length,
    configurationBytes,
    configurationMs: performance.now() - startedAt
  }
}

export async function runCapacity (): Promise<CapacityRow[]> {
  return SIZES.map(({ services, hosts }) => {
    const row = measureSize(services, hosts)
    process.stdout.write(`${JSON.stringify(row)}\n`)
    return row
  })
}
