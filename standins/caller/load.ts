/**
 * Callers: send calls to a node at a bounded rate and keep what came back, to be checked against what ran.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { v7 as makeUuid } from 'uuid'
import type { Verdict } from '../../src/core/index.js'
import { HEADERS } from '../../src/request/index.js'

export interface CallKind { service: string, method: 'GET' | 'POST' | 'PUT', path: string, keyed: boolean, bodyBytes: number }

export interface CallResult { key: string | undefined, verdict: Verdict | 'lost' | 'wrong', status: number, ms: number }

const agent = new Agent({ connections: 64, pipelining: 1 })

/** `wrong` is an answer to another request, or one that is not whole. */
export async function sendCall (node: string, kind: CallKind): Promise<CallResult> {
  const key = kind.keyed ? makeUuid() : undefined
  const echo = makeUuid()
  const startedAt = performance.now()
  const finish = (verdict: CallResult['verdict'], status: number): CallResult => ({ key, verdict, status, ms: performance.now() - startedAt })
  try {
    const answer = await request(`http://${node}${kind.path}`, {
      method: kind.method,
      dispatcher: agent,
      headers: { [HEADERS.service]: kind.service, 'x-echo': echo, ...(key === undefined ? {} : { [HEADERS.key]: key }) },
      body: kind.bodyBytes > 0 ? Buffer.alloc(kind.bodyBytes, 'x') : null,
      signal: AbortSignal.timeout(10_000)
    })
    const body = await answer.body.json() as { echo?: string, bytes?: number, verdict?: Verdict }
    if (answer.statusCode !== 200) return finish(body.verdict ?? 'lost', answer.statusCode)
    return finish(body.echo === echo && body.bytes === kind.bodyBytes ? 'ran' : 'wrong', 200)
  } catch {
    return finish('lost', 0)
  }
}

/** Sends calls from one place until the signal is aborted. */
export async function sendCalls (node: () => string, kinds: readonly CallKind[], everyMs: number, signal: AbortSignal): Promise<CallResult[]> {
  const pending: Array<Promise<CallResult>> = []
  for (let number = 0; !signal.aborted; number += 1) {
    const kind = kinds[number % kinds.length]
    if (kind !== undefined) pending.push(sendCall(node(), kind))
    await delay(everyMs)
  }
  return await Promise.all(pending)
}
