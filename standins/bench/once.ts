/**
 * Claims and settlements against the platform stand-in over HTTP, with its limits: platform calls for
 * each once call, and how many calls get their claim, by the rate and the number of nodes.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { v7 as makeUuid } from 'uuid'
import { SystemClock, SystemRandom } from '../../src/core/index.js'
import { claimKey, ClaimLedger, settleClaim } from '../../src/once/index.js'
import { CountingObjectStore, HttpObjectStore } from '../../src/store/index.js'
import { PlatformServer } from '../platform/server.js'

interface Case { nodes: number, perSecond: number }

interface Row extends Case { claimed: number, refused: number, writesPerCall: number, readsPerCall: number, claimP50Ms: number, claimP99Ms: number }

const RUN_MS = 4_000
const SETTLE_MS = 1_500
const DEADLINE_MS = 3_000
const TICK_MS = 10
const SERVICE_MS = 5
const CASES: Case[] = [
  { nodes: 1, perSecond: 50 }, { nodes: 1, perSecond: 1_000 }, { nodes: 1, perSecond: 3_000 },
  { nodes: 8, perSecond: 50 }, { nodes: 8, perSecond: 200 }, { nodes: 8, perSecond: 400 }, { nodes: 8, perSecond: 1_000 },
  { nodes: 64, perSecond: 200 }, { nodes: 64, perSecond: 400 }
]

class Run {
  readonly latencies: number[] = []
  refused = 0
  writes = 0
  reads = 0

  async call (ledger: ClaimLedger): Promise<void> {
    const startedAt = performance.now()
    const request = { service: 'desk', key: makeUuid(), timeMs: Date.now(), hash: 'h' }
    const claimed = await claimKey(ledger, request, AbortSignal.timeout(DEADLINE_MS))
    if (claimed.err || claimed.val.kind !== 'claimed') {
      this.refused += 1
      return
    }
    this.latencies.push(performance.now() - startedAt)
    await delay(SERVICE_MS)
    settleClaim(ledger, claimed.val.ticket, { state: 'done', status: 200, type: 'application/json', body: 'e30=' })
  }

  countCall (call: string): void {
    if (call === 'write' || call === 'remove') this.writes += 1
    else this.reads += 1
  }
}

async function runCase ({ nodes, perSecond }: Case): Promise<Row> {
  const server = new PlatformServer()
  const store = new HttpObjectStore(await server.listen(0))
  const run = new Run()
  const counted = new CountingObjectStore(store, call => { run.countCall(call) })
  const ledgers = Array.from({ length: nodes }, (_, index) =>
    new ClaimLedger({ node: `node-${index}`, store: counted, clock: new SystemClock(), random: new SystemRandom() }))
  const calls: Array<Promise<void>> = []
  const startedAt = performance.now()
  for (let now = 0; now < RUN_MS; now = performance.now() - startedAt) {
    const due = now * perSecond / 1_000
    while (calls.length < due) calls.push(run.call(ledgers[calls.length % nodes] as ClaimLedger))
    await delay(TICK_MS)
  }
  await Promise.all(calls)
  await delay(SETTLE_MS)
  const row = makeRow({ nodes, perSecond }, run, calls.length)
  await store.close()
  await server.close()
  return row
}

function makeRow (one: Case, { latencies, refused, writes, reads }: Run, calls: number): Row {
  latencies.sort((left, right) => left - right)
  const findQuantile = (share: number): number => Math.round((latencies[Math.floor(latencies.length * share)] ?? 0) * 10) / 10
  const claimed = latencies.length
  const perCall = (count: number): number => Math.round(count / calls * 100) / 100
  const calledPlatform = { writesPerCall: perCall(writes), readsPerCall: perCall(reads) }
  return { ...one, claimed, refused, ...calledPlatform, claimP50Ms: findQuantile(0.5), claimP99Ms: findQuantile(0.99) }
}

export async function measureOnce (): Promise<Row[]> {
  const rows: Row[] = []
  for (const one of CASES) rows.push(await runCase(one))
  console.table(rows)
  return rows
}
