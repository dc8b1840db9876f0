/**
 * `bench capacity`: what one node holds and spends, as slopes for each service, host and change,
 * measured in this process at several sizes up to the size to design for.
 */
import { hashValue, SystemClock } from '../../src/core/index.js'
import type { HostRecord } from '../../src/membership/index.js'
import { makeFetchAnswer, makeUpdate, MsgpackCodec, receiveEntries, receiveRecords, Replica } from '../../src/peer/index.js'
import type { Receiver } from '../../src/peer/index.js'
import { makeVector } from '../../src/snapshot/index.js'
import type { Entry } from '../../src/snapshot/index.js'
import { makeBenchDocument } from './document.js'

const SIZES = [{ services: 85, hosts: 2_900 }, { services: 425, hosts: 14_500 }, { services: 850, hosts: 29_000 }]
const CHANGES = 500

export interface CapacityRow {
  services: number
  hosts: number
  heapMb: number
  documentChangeMs: number
  recordChangeMs: number
  updateBytes: number
  fullTextBytes: number
  recordBytes: number
  helloVectorBytes: number
  fetchBytes: number
  fetchMs: number
  encodeUpdateMs: number
}

function makeEntry (service: string, version: number): Entry {
  const document = makeBenchDocument(service, version)
  return { service, version, acceptedAt: 0, hash: hashValue(document), document }
}

function makeRecord (index: number, sequence: number, services: number): HostRecord {
  const ip = `10.${index >> 16 & 255}.${index >> 8 & 255}.${index & 255}`
  return {
    host: `host-${index}`,
    zone: `zone-${index % 11}`,
    region: `region-${index % 4}`,
    inbound: `${ip}:7401`,
    peer: `${ip}:7402`,
    admin: `${ip}:7404`,
    incarnation: 1_700_000_000_000,
    sequence,
    state: 'serving',
    targets: [{
      service: `service-${index % services}`, target: `t-${index}`, address: `${ip}:8080`, slots: 6, connections: 130, labels: {}, state: 'ready'
    }],
    lost: false
  }
}

function makeReceiver (): Receiver {
  const identity = { host: 'bench', zone: 'zone-0', region: 'region-0', inbound: '', peer: '', admin: '', incarnation: 1 }
  return { replica: new Replica(identity), clock: new SystemClock(), onApplied: () => {} }
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
  const heapBefore = readHeapMb()
  const receiver = makeReceiver()
  receiveEntries(receiver, Array.from({ length: services }, (_, index) => makeEntry(`service-${index}`, index + 1)))
  receiveRecords(receiver, Array.from({ length: hosts }, (_, index) => makeRecord(index, 1, services)))
  const heapMb = readHeapMb() - heapBefore
  const entries = Array.from({ length: CHANGES }, (_, index) => makeEntry(`service-${index % services}`, services + 1 + index))
  const records = Array.from({ length: CHANGES }, (_, index) => makeRecord(index, 2, services))
  const documentChangeMs = measureMs(CHANGES, index => { receiveEntries(receiver, entries.slice(index, index + 1)) })
  const recordChangeMs = measureMs(CHANGES, index => { receiveRecords(receiver, records.slice(index, index + 1)) })
  const base = makeEntry('service-1', 1)
  const update = makeUpdate(makeEntry('service-1', 2), base)
  const startedAt = performance.now()
  const fetched = codec.encode(makeFetchAnswer(receiver.replica))
  return {
    services,
    hosts,
    heapMb,
    documentChangeMs,
    recordChangeMs,
    updateBytes: codec.encode(update).length,
    fullTextBytes: codec.encode(makeUpdate(base, undefined)).length,
    recordBytes: codec.encode({ type: 'members', records: records.slice(0, 1) }).length,
    helloVectorBytes: codec.encode(makeVector(receiver.replica.table.staged)).length,
    fetchBytes: fetched.length,
    fetchMs: performance.now() - startedAt,
    encodeUpdateMs: measureMs(CHANGES, index => { codec.encode(makeUpdate(makeEntry('service-1', 2 + index), base)) })
  }
}

export async function runCapacity (): Promise<CapacityRow[]> {
  return SIZES.map(({ services, hosts }) => {
    const row = measureSize(services, hosts)
    process.stdout.write(`${JSON.stringify(row)}\n`)
    return row
  })
}
