/**
 * `npm run bench -- members [RECORDS]`: measures the bytes of one exchange between two nodes of a large zone, in this
 * process, for several numbers of differing records. The row `full` is the size of a message with all records.
 */
import { SystemClock, SystemRandom } from '../../src/core/index.js'
import type { Fault, Result, StructuredLog } from '../../src/core/index.js'
import { Ok } from '../../src/core/index.js'
import { storeRecords } from '../../src/node/commands/records.js'
import { NodeState } from '../../src/node/state.js'
import { PeerSynchronizer } from '../../src/node/tasks/peers.js'
import { MsgpackCodec, PeerTransport } from '../../src/peer/index.js'
import type { ExchangeRequest, ExchangeResponse } from '../../src/peer/index.js'
import { makeBenchRecord } from './record.js'

const ZONE_COUNT = 11
const SERVICE_COUNT = 850
const CHANGED_RECORD_COUNTS = [0, 1, 30]

const codec = new MsgpackCodec()
const clock = new SystemClock()
const silentLog: StructuredLog = { log: () => {} }

/** Passes each request to the responding node and counts the bytes of the request and the response. */
class CountingTransport extends PeerTransport {
  bytes = 0

  constructor (private readonly responder: PeerSynchronizer) {
    super()
  }

  override async exchange (_address: string, request: ExchangeRequest): Promise<Result<ExchangeResponse, Fault>> {
    const response = this.responder.respond(request)
    this.bytes += codec.encode(request).length + codec.encode(response).length
    return Ok(response)
  }
}

class UnusedTransport extends PeerTransport {
  override async exchange (): Promise<Result<ExchangeResponse, Fault>> {
    throw new Error('the responding node must not send an exchange')
  }
}

function makeSynchronizer (state: NodeState, transport: PeerTransport): PeerSynchronizer {
  return new PeerSynchronizer({ state, transport, clock, random: new SystemRandom(), log: silentLog, onConfiguration: () => {} })
}

function makeState (index: number, records: ReturnType<typeof makeBenchRecord>[]): NodeState {
  const state = new NodeState({ ...makeBenchRecord(index, { zones: ZONE_COUNT, services: SERVICE_COUNT }), incarnation: 1 }, clock)
  storeRecords(state, { records }, clock)
  return state
}

async function measureExchange (initiatorState: NodeState, responderState: NodeState): Promise<number> {
  const transport = new CountingTransport(makeSynchronizer(responderState, new UnusedTransport()))
  const responderRecord = responderState.localHost.makeRecord()
  await makeSynchronizer(initiatorState, transport).exchange(responderRecord, { records: [], cleared: [] })
  return transport.bytes
}

export interface MembersRow { name: string, value: number, unit: string }

function printRow (rows: MembersRow[], name: string, value: number, unit: string): void {
  rows.push({ name, value, unit })
  process.stdout.write(`${name.padEnd(44)} ${String(Math.round(value)).padStart(10)} ${unit}\n`)
}

export async function runMembers ([recordCountArgument]: readonly string[]): Promise<MembersRow[]> {
  const count = Number(recordCountArgument ?? 29_000)
  const fleetShape = { zones: ZONE_COUNT, services: SERVICE_COUNT }
  const rows: MembersRow[] = []
  const records = Array.from({ length: count }, (_, index) => makeBenchRecord(index, fleetShape))
  const startedAt = performance.now()
  const responderState = makeState(count, records)
  printRow(rows, `taking ${count} records`, performance.now() - startedAt, 'ms')
  printRow(rows, 'full in one direction', codec.encode(records).length, 'bytes')
  for (const changedCount of CHANGED_RECORD_COUNTS) {
    const newerRecords = Array.from({ length: changedCount }, (_, index) => makeBenchRecord(index, fleetShape, 2))
    const bytes = await measureExchange(makeState(count + 1, [...records.slice(changedCount), ...newerRecords]), responderState)
    printRow(rows, `exchange, ${changedCount} records newer at the caller`, bytes, 'bytes')
  }
  return rows
}
