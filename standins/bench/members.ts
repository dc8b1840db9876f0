/**
 * Bytes of the messages about host records when a node subscribes again, in this process:
 * `node dist/standins/bench/members.js [RECORDS]`. `full` is what both sides sent before tables
 * were compared by digests: all records, in both directions.
 */
import { SystemClock } from '../../src/core/index.js'
import { announcementSchema } from '../../src/membership/index.js'
import type { HostRecord } from '../../src/membership/index.js'
import { listFirstMembers, listNewer, makeComplete, makeDigests, MsgpackCodec, receiveRecords, Replica } from '../../src/peer/index.js'
import type { Receiver } from '../../src/peer/index.js'

const ZONES = 11
const SERVICES = 850
const CHANGED = [0, 1, 30]

const codec = new MsgpackCodec()

function makeRecord (index: number, sequence = 1): HostRecord {
  const zone = index % ZONES
  const ip = `127.${zone}.${index >> 8}.${index & 255}`
  const announcement = announcementSchema.parse({ service: `service-${index % SERVICES}`, target: `t-${index}`, address: `${ip}:8080` })
  return {
    host: `host-${String(index).padStart(5, '0')}`,
    zone: `zone-${zone}`,
    region: `region-${zone % 4}`,
    inbound: `${ip}:7401`,
    peer: `${ip}:7402`,
    admin: `${ip}:7404`,
    incarnation: 1_796_000_000_000 + index * 7_919,
    sequence,
    state: 'serving',
    targets: [announcement],
    lost: false
  }
}

function makeReceiver (index: number, records: readonly HostRecord[]): Receiver {
  const replica = new Replica({ ...makeRecord(index), incarnation: 1 })
  const receiver = { replica, clock: new SystemClock(), onApplied: () => {} }
  receiveRecords(receiver, records)
  return receiver
}

function measureMessage (message: unknown): number {
  return codec.encode(message).length
}

/** All bytes that pass when the first subscribes to the second; both hold the same records afterwards. */
function measureReconnect (subscriber: Receiver, publisher: Receiver): number {
  const digests = makeDigests(subscriber.replica)
  let bytes = measureMessage(digests)
  for (const message of listFirstMembers(publisher.replica, digests)) {
    bytes += measureMessage(message)
    if (message.type === 'members') {
      receiveRecords(subscriber, message.records, 'publisher')
      continue
    }
    const complete = makeComplete(subscriber.replica, message)
    receiveRecords(publisher, complete.records, 'subscriber')
    const newer = listNewer(publisher.replica, complete)
    for (const one of newer) receiveRecords(subscriber, one.records, 'publisher')
    bytes += [complete, ...newer].reduce((sum, one) => sum + measureMessage(one), 0)
  }
  return bytes
}

export interface Row { name: string, value: number, unit: string }

function printRow (rows: Row[], name: string, value: number, unit: string): void {
  rows.push({ name, value, unit })
  process.stdout.write(`${name.padEnd(44)} ${String(Math.round(value)).padStart(10)} ${unit}\n`)
}

export async function runMembers ([size]: readonly string[]): Promise<Row[]> {
  const count = Number(size ?? 2_600)
  const rows: Row[] = []
  const records = Array.from({ length: count }, (_, index) => makeRecord(index))
  const startedAt = performance.now()
  const publisher = makeReceiver(count, records)
  printRow(rows, `taking ${count} records`, performance.now() - startedAt, 'ms')
  const full = measureMessage({ type: 'members', records })
  printRow(rows, 'reconnect, full in both directions', 2 * full, 'bytes')
  printRow(rows, 'first connect with an empty table', measureReconnect(makeReceiver(count + 1, []), publisher), 'bytes')
  for (const changed of CHANGED) {
    const newer = records.slice(0, changed).map((_record, index) => makeRecord(index, 2))
    const bytes = measureReconnect(makeReceiver(count + 1, records), makeReceiver(count, [...records.slice(changed), ...newer]))
    printRow(rows, `reconnect, ${changed} records newer at the publisher`, bytes, 'bytes')
  }
  return rows
}
