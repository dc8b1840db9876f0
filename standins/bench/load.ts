/**
 * Generates load on one address, in a closed loop (each caller sends its next call after the response to the
 * previous one) or in an open loop (calls are sent at fixed times, independent of the responses).
 * Latencies are in microseconds.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'

export interface LoadOptions { address: string, service: string, path: string, seconds: number }

export interface LoadOutcome { histogram: Histogram, good: number, failed: number, codes: Record<string, number>, seconds: number }

const agent = new Agent({ connections: 2_048, pipelining: 1, connect: { timeout: 5_000 } })
const RESPONSE_TIMEOUT_MS = 10_000

function makeOutcome (): LoadOutcome {
  return { histogram: build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 }), good: 0, failed: 0, codes: {}, seconds: 0 }
}

async function callOnce ({ address, service, path }: LoadOptions, outcome: LoadOutcome, measuredFrom: number): Promise<void> {
  try {
    const response = await request(`http://${address}${path}`, {
      dispatcher: agent, headers: { 'x-comfreyspoke-service': service }, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS
    })
    const body = await response.body.text()
    if (response.statusCode === 200) {
      outcome.good += 1
      outcome.histogram.recordValue(Math.round((performance.now() - measuredFrom) * 1000))
      return
    }
    countFailure(outcome, String((JSON.parse(body) as { code?: string }).code))
  } catch (error) {
    countFailure(outcome, String((error as { code?: string }).code))
  }
}

function countFailure (outcome: LoadOutcome, code: string): void {
  outcome.failed += 1
  outcome.codes[code] = (outcome.codes[code] ?? 0) + 1
}

export async function runClosedLoop (options: LoadOptions, callers: number): Promise<LoadOutcome> {
  const outcome = makeOutcome()
  const startedAt = performance.now()
  const endsAt = startedAt + options.seconds * 1000
  const runCaller = async (): Promise<void> => { while (performance.now() < endsAt) await callOnce(options, outcome, performance.now()) }
  await Promise.all(Array.from({ length: callers }, runCaller))
  outcome.seconds = (performance.now() - startedAt) / 1000
  return outcome
}

/** Measures latency from the time at which a call was due, so that a stall shows in every call that was due during it. */
export async function runOpenLoop (options: LoadOptions, callsPerSecond: number): Promise<LoadOutcome> {
  const outcome = makeOutcome()
  const startedAt = performance.now()
  const pendingCalls: Array<Promise<void>> = []
  const callCount = Math.round(callsPerSecond * options.seconds)
  for (let sentCount = 0; sentCount < callCount;) {
    const dueCount = Math.min(callCount, Math.floor((performance.now() - startedAt) / 1000 * callsPerSecond) + 1)
    for (; sentCount < dueCount; sentCount += 1) pendingCalls.push(callOnce(options, outcome, startedAt + sentCount / callsPerSecond * 1000))
    await delay(1)
  }
  await Promise.all(pendingCalls)
  outcome.seconds = options.seconds
  return outcome
}

/** Runs the two variants in turn for several rounds, so that both meet the same conditions of the machine. */
export async function compareVariants (
  rounds: number, runVariant: (variant: 'direct' | 'node') => Promise<LoadOutcome>
): Promise<Record<'direct' | 'node', LoadOutcome>> {
  const totals = { direct: makeOutcome(), node: makeOutcome() }
  for (let round = 0; round < rounds; round += 1) {
    for (const variant of ['direct', 'node'] as const) {
      const outcome = await runVariant(variant)
      totals[variant].histogram.add(outcome.histogram)
      totals[variant].good += outcome.good
      totals[variant].failed += outcome.failed
      totals[variant].seconds += outcome.seconds
    }
  }
  return totals
}
