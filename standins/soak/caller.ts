/**
 * The callers on one host. Each is a task that sends one request after the other, on a keep-alive connection or a new one for each request.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Client } from 'undici'
import type { Random } from '../../src/core/index.js'
import type { SoakHost } from './host.js'
import type { RequestRecord, SoakRecord } from './record.js'
import { makeBody } from './target.js'

export interface CallerOptions { host: SoakHost, services: readonly string[], record: SoakRecord, random: Random, isKeepAlive: boolean }

const TIMEOUT_MS = 1_500
const MAX_PAUSE_MS = 60
/** Share of the requests that must run once at most. */
const PLAIN_SHARE = 0.4
/** Share of the callers that leave early. */
const LEAVE_SHARE = 0.03
const LEAVE_AFTER_MS = 20
const MAX_BODY_BYTES = 40_000

export async function runCaller (options: CallerOptions, signal: AbortSignal): Promise<void> {
  const { host, random, isKeepAlive } = options
  let client = makeClient(host)
  while (!signal.aborted) {
    const isUsable = await sendRequest(options, client)
    if (!isUsable || !isKeepAlive) {
      void client.destroy()
      client = makeClient(host)
    }
    await delay(random.pickIndex(MAX_PAUSE_MS))
  }
  await client.destroy()
}

function makeClient ({ addresses }: SoakHost): Client {
  return new Client(`http://${addresses.caller}`, { pipelining: 1, headersTimeout: 2 * TIMEOUT_MS, bodyTimeout: 2 * TIMEOUT_MS, connectTimeout: TIMEOUT_MS })
}

/** Returns false if the connection must not be used again. */
async function sendRequest ({ host, services, record, random }: CallerOptions, client: Client): Promise<boolean> {
  const kind = random.next() < PLAIN_SHARE ? 'plain' : 'idempotent'
  const service = services[random.pickIndex(services.length)] ?? ''
  const request = record.beginRequest(service, kind, host.options.index)
  const { id } = request
  const leaveAfterMs = random.next() < LEAVE_SHARE ? LEAVE_AFTER_MS : 2 * TIMEOUT_MS
  try {
    const response = await client.request({
      method: kind === 'plain' ? 'POST' : 'GET',
      path: `/${service}/${kind}/${id}`,
      headers: { host: 'soak.example', 'x-attempt-id': id, 'x-timeout-ms': String(TIMEOUT_MS) },
      body: kind === 'plain' ? 'x'.repeat(random.pickIndex(MAX_BODY_BYTES)) : null,
      signal: AbortSignal.timeout(leaveAfterMs)
    })
    checkResponse(record, request, response.statusCode, response.headers, await response.body.text())
    return response.headers.connection !== 'close'
  } catch (error) {
    request.isCut = (error as { name?: unknown }).name !== 'TimeoutError'
    return false
  }
}

/** A successful response has to be the whole response to this request; every response may name this request only. */
function checkResponse (
  record: SoakRecord, request: RequestRecord, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, body: string
): void {
  request.status = status
  const named = headers['x-attempt-id']
  if (named !== undefined && named !== request.id) record.recordViolation(`${request.id} got the response to ${String(named)}`)
  const isWhole = body === makeBody(request.id) && headers['x-response-signature'] !== undefined
  if (status === 200 && !isWhole) record.recordViolation(`${request.id} got 200 with a body of ${body.length} bytes that is not its own`)
}
