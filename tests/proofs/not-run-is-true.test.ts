/**
 * P5: when a caller receives the verdict that its request was not run, no target received a byte of the request.
 * Targets and links refuse, reset or close connections, hang, and respond in part, at any byte; the oracle counts the
 * bytes that reached any target. Guards against a verdict that is derived from the last attempt alone, from a header
 * that the target set, or from an error that can occur after bytes were sent.
 */
import { afterAll, beforeAll, beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { Agent, request } from 'undici'
import { FaultyLink, FaultyTarget, UNNAMED_CALL } from '../fixtures/faulty.js'
import type { FaultKind } from '../fixtures/faulty.js'
import { startMesh } from '../fixtures/mesh.js'
import type { Mesh } from '../fixtures/mesh.js'
import { readPropertyParameters } from '../fixtures/property.js'

const RUNS = 300
const TARGETS = 3
const DEADLINE_MS = 60

const FAULT_KINDS: readonly FaultKind[] = ['answer', 'refuse', 'reset-at-once', 'reset', 'close', 'hang', 'half-answer', 'error-answer', 'garbage']
const anyFault = fc.record({
  kind: fc.oneof({ weight: 2, arbitrary: fc.constantFrom(...FAULT_KINDS) }, { weight: 3, arbitrary: fc.constant<FaultKind>('refuse') }),
  after: fc.constantFrom(0, 1, 100, 400, 5_000, 70_000)
})
const anyCut = fc.record({ direction: fc.constantFrom('up' as const, 'down' as const), after: fc.constantFrom(0, 1, 50, 300, 5_000, 100_000) })
const anyCall = fc.record({
  method: fc.constantFrom('GET' as const, 'POST' as const),
  bodyBytes: fc.constantFrom(0, 10, 5_000, 200_000),
  faults: fc.array(anyFault, { minLength: TARGETS, maxLength: TARGETS }),
  cuts: fc.array(fc.option(anyCut, { nil: undefined, freq: 1 }), { minLength: TARGETS, maxLength: TARGETS }),
  /** Time after which the caller disconnects, or undefined when the caller waits for the response. */
  disconnectAfterMs: fc.option(fc.nat({ max: 30 }), { nil: undefined, freq: 6 })
})

interface FailureResponse { verdict: string, code: string }

describe.each(['local', 'remote'] as const)('%s path', path => {
  const targets = Array.from({ length: TARGETS }, () => new FaultyTarget())
  let links: FaultyLink[] = []
  let mesh: Mesh
  let agent: Agent
  const outcomeCounts = new Map<string, number>()
  let callCount = 0

  beforeAll(async () => {
    agent = new Agent()
    for (const target of targets) await target.start()
    mesh = await startMesh({ targets: targets.map(target => target.address), path, document: { retries: { attempts: 3, minPerSecond: 1000 } } })
    links = path === 'remote' ? mesh.inbound.map(address => new FaultyLink(address)) : []
    for (const link of links) await link.start()
    mesh.setInbound(links.map(link => link.address))
  })

  afterAll(async () => {
    await agent.destroy()
    await mesh.close()
    for (const server of [...links, ...targets]) await server.stop()
  })

  beforeEach(() => { outcomeCounts.clear() })

  function countBytes (id: string): number {
    return targets.reduce((sum, target) => sum + (target.bytes.get(id) ?? 0) + (target.bytes.get(UNNAMED_CALL) ?? 0), 0)
  }

  async function sendCall (
    id: string, call: { method: 'GET' | 'POST', bodyBytes: number, disconnectAfterMs: number | undefined }
  ): Promise<FailureResponse | undefined> {
    const signal = call.disconnectAfterMs === undefined ? undefined : AbortSignal.timeout(call.disconnectAfterMs)
    const url = `http://${mesh.caller}${call.method === 'GET' ? '/read' : '/write'}/${id}`
    const headers = { 'x-comfreyspoke-service': 'desk', 'x-comfreyspoke-deadline-ms': String(DEADLINE_MS) }
    const body = call.method === 'GET' ? null : Buffer.alloc(call.bodyBytes)
    try {
      const response = await request(url, { method: call.method, dispatcher: agent, headers, body, ...(signal === undefined ? {} : { signal }) })
      const text = await response.body.text()
      return response.headers['x-comfreyspoke-verdict'] === undefined ? undefined : JSON.parse(text) as FailureResponse
    } catch {
      return undefined
    }
  }

  test('no target received a byte of a request that was reported as not run', async () => {
    await fc.assert(fc.asyncProperty(anyCall, async ({ faults, cuts, ...call }) => {
      for (const [index, target] of targets.entries()) await target.setFault(faults[index] ?? { kind: 'answer', after: 0 })
      for (const [index, link] of links.entries()) {
        link.cut = cuts[index]
        link.reset()
      }
      callCount += 1
      const id = `call-${callCount}`
      const failure = await sendCall(id, call)
      await mesh.awaitIdle()
      if (failure?.verdict === 'not-run') expect({ code: failure.code, bytes: countBytes(id) }).toEqual({ code: failure.code, bytes: 0 })
      const label = failure === undefined ? 'answered' : `${failure.verdict} ${failure.code}`
      outcomeCounts.set(label, (outcomeCounts.get(label) ?? 0) + 1)
    }), readPropertyParameters(RUNS))
    // Without failures of both verdicts, the property would hold trivially.
    const labels = [...outcomeCounts.keys()].join()
    expect(labels).toContain('not-run')
    expect(labels).toContain('may-have-run')
  })
})
