/**
 * Load on one address in a closed loop (so many callers, each waits for its answer) or an open loop
 * (calls at fixed times, whatever the answers do). Latencies are microseconds.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'

export interface Load { address: string, service: string, path: string, seconds: number }

export interface Outcome { histogram: Histogram, good: number, failed: number, codes: Record<string, number>, seconds: number }

const agent = new Agent({ connections: 2_048, pipelining: 1, connect: { timeout: 5_000 } })
const LATE_MS = 10_000

function makeOutcome (): Outcome {
  return { histogram: build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 }), good: 0, failed: 0, codes: {}, seconds: 0 }
}

async function callOnce ({ address, service, path }: Load, outcome: Outcome, from: number): Promise<void> {
  try {
    const answer = await request(`http://${address}${path}`, {
      dispatcher: agent, headers: { 'x-comfreyspoke-service': service }, headersTimeout: LATE_MS, bodyTimeout: LATE_MS
    })
    const text = await answer.body.text()
    if (answer.statusCode === 200) {
      outcome.good += 1
      outcome.histogram.recordValue(Math.round((performance.now() - from) * 1000))
      return
    }
    countFailure(outcome, String((JSON.parse(text) as { code?: string }).code))
  } catch (error) {
    countFailure(outcome, String((error as { code?: string }).code))
  }
}

function countFailure (outcome: Outcome, code: string): void {
  outcome.failed += 1
  outcome.codes[code] = (outcome.codes[code] ?? 0) + 1
}

export async function runClosed (load: Load, callers: number): Promise<Outcome> {
  const outcome = makeOutcome()
  const startedAt = performance.now()
  const endsAt = startedAt + load.seconds * 1000
  const runOne = async (): Promise<void> => { while (performance.now() < endsAt) await callOnce(load, outcome, performance.now()) }
  await Promise.all(Array.from({ length: callers }, runOne))
  outcome.seconds = (performance.now() - startedAt) / 1000
  return outcome
}

/** Latency counts from the time that the call was due, so that a stall is seen by all calls due in it. */
export async function runOpen (load: Load, perSecond: number): Promise<Outcome> {
  const outcome = makeOutcome()
  const startedAt = performance.now()
  const pending: Array<Promise<void>> = []
  const total = Math.round(perSecond * load.seconds)
  for (let sent = 0; sent < total;) {
    const due = Math.min(total, Math.floor((performance.now() - startedAt) / 1000 * perSecond) + 1)
    for (; sent < due; sent += 1) pending.push(callOnce(load, outcome, startedAt + sent / perSecond * 1000))
    await delay(1)
  }
  await Promise.all(pending)
  outcome.seconds = load.seconds
  return outcome
}

/** Several rounds of the same, the two ways in turn, so that both see the same machine. */
export async function compareWays (rounds: number, runWay: (way: 'direct' | 'node') => Promise<Outcome>): Promise<Record<'direct' | 'node', Outcome>> {
  const sums = { direct: makeOutcome(), node: makeOutcome() }
  for (let round = 0; round < rounds; round += 1) {
    for (const way of ['direct', 'node'] as const) {
      const outcome = await runWay(way)
      sums[way].histogram.add(outcome.histogram)
      sums[way].good += outcome.good
      sums[way].failed += outcome.failed
      sums[way].seconds += outcome.seconds
    }
  }
  return sums
}
