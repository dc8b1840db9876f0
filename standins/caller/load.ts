/**
 * Load generator: sends calls to a node at a limited rate and collects the results, which tests compare with the runs on the targets.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { v7 as makeUuid } from 'uuid'
import type { Verdict } from '../../src/core/index.js'
import { HEADERS } from '../../src/request/index.js'

export interface CallKind { service: string, method: 'GET' | 'POST' | 'PUT', path: string, keyed: boolean, bodyBytes: number }

export interface CallResult { key: string | undefined, verdict: Verdict | 'lost' | 'wrong', status: number, ms: number }

const agent = new Agent({ connections: 64, pipelining: 1 })

/** The verdict `wrong` means a response to another request or a truncated response. */
export async function sendCall (node: string, kind: CallKind): Promise<CallResult> {
  const key = kind.keyed ? makeUuid() : undefined
  const echo = makeUuid()
  const startedAt = performance.now()
  const finish = (verdict: CallResult['verdict'], status: number): CallResult => ({ key, verdict, status, ms: performance.now() - startedAt })
  try {
    const response = await request(`http://${node}${kind.path}`, {
      method: kind.method,
      dispatcher: agent,
      headers: { [HEADERS.service]: kind.service, 'x-echo': echo, ...(key === undefined ? {} : { [HEADERS.key]: key }) },
      body: kind.bodyBytes > 0 ? Buffer.alloc(kind.bodyBytes, 'x') : null,
      signal: AbortSignal.timeout(10_000)
    })
    const body = await response.body.json() as { echo?: string, bytes?: number, verdict?: Verdict }
    if (response.statusCode !== 200) return finish(body.verdict ?? 'lost', response.statusCode)
    return finish(body.echo === echo && body.bytes === kind.bodyBytes ? 'ran' : 'wrong', 200)
  } catch {
    return finish('lost', 0)
  }
}

/** Sends calls as one caller, one call per interval, until the signal is aborted. */
export async function sendCalls (getNode: () => string, kinds: readonly CallKind[], intervalMs: number, signal: AbortSignal): Promise<CallResult[]> {
  const pending: Array<Promise<CallResult>> = []
  for (let index = 0; !signal.aborted; index += 1) {
    const kind = kinds[index % kinds.length]
    if (kind !== undefined) pending.push(sendCall(getNode(), kind))
    await delay(intervalMs)
  }
  return await Promise.all(pending)
}
