/**
 * Bytes of one exchange between two nodes of a large zone, in this process, by how many records
 * differ: `npm run bench -- members [RECORDS]`. `full` is what sending all records would take.
 */
import { SystemClock, SystemRandom } from '../../src/core/index.js'
import type { StructuredLog, Fault, Result } from '../../src/core/index.js'
import { Ok } from '../../src/core/index.js'
import { storeRecords } from '../../src/node/commands/records.js'
import { NodeState } from '../../src/node/state.js'
import { PeerSynchronizer } from '../../src/node/tasks/peers.js'
import { MsgpackCodec, PeerTransport } from '../../src/peer/index.js'
import type { ExchangeResponse, ExchangeRequest } from '../../src/peer/index.js'
import { makeBenchRecord } from './record.js'

const ZONES = 11
const SERVICES = 850
const CHANGED = [0, 1, 30]

const codec = new MsgpackCodec()
const clock = new SystemClock()
const silentLog: StructuredLog = { log: () => {} }

/** Hands each call to another node and counts the bytes of both messages. */
class CountingCalls extends PeerTransport {
  bytes = 0

  constructor (private readonly other: PeerSynchronizer) {
    super()
  }

  override async exchange (_address: string, request: ExchangeRequest): Promise<Result<ExchangeResponse, Fault>> {
    const answer = this.other.respond(request)
    this.bytes += codec.encode(request).length + codec.encode(answer).length
    return Ok(answer)
  }
}

class NoCalls extends PeerTransport {
  override async exchange (): Promise<Result<ExchangeResponse, Fault>> {
    throw new Error('this node calls nobody')
  }
}

function makePeers (state: NodeState, calls: PeerTransport): PeerSynchronizer {
  return new PeerSynchronizer({ state, transport: calls, clock, random: new SystemRandom(), log: silentLog, onConfiguration: () => {} })
}

function makeState (index: number, records: ReturnType<typeof makeBenchRecord>[]): NodeState {
  const state = new NodeState({ ...makeBenchRecord(index, { zones: ZONES, services: SERVICES }), incarnation: 1 }, clock)
  storeRecords(state, { records }, clock)
  return state
}

async function measureExchange (caller: NodeState, answerer: NodeState): Promise<number> {
  const calls = new CountingCalls(makePeers(answerer, new NoCalls()))
  const own = answerer.localHost.makeRecord()
  await makePeers(caller, calls).exchange(own, { records: [], marks: [], cleared: [] })
  return calls.bytes
}

export interface Row { name: string, value: number, unit: string }

function printRow (rows: Row[], name: string, value: number, unit: string): void {
  rows.push({ name, value, unit })
  process.stdout.write(`${name.padEnd(44)} ${String(Math.round(value)).padStart(10)} ${unit}\n`)
}

export async function runMembers ([size]: readonly string[]): Promise<Row[]> {
  const count = Number(size ?? 29_000)
  const place = { zones: ZONES, services: SERVICES }
  const rows: Row[] = []
  const records = Array.from({ length: count }, (_, index) => makeBenchRecord(index, place))
  const startedAt = performance.now()
  const held = makeState(count, records)
  printRow(rows, `taking ${count} records`, performance.now() - startedAt, 'ms')
  printRow(rows, 'full in one direction', codec.encode(records).length, 'bytes')
  for (const changed of CHANGED) {
    const newer = Array.from({ length: changed }, (_, index) => makeBenchRecord(index, place, 2))
    const bytes = await measureExchange(makeState(count + 1, [...records.slice(changed), ...newer]), held)
    printRow(rows, `exchange, ${changed} records newer at the caller`, bytes, 'bytes')
  }
  return rows
}
