/**
 * P5: when a caller is told that its request was not run, no target got a byte of it. Targets and
 * links refuse, reset, close, hang and answer in part, at any byte; the oracle counts the bytes that
 * reached any target. Guards against a verdict taken from the last attempt alone, from a target's own
 * header, or from an error that may come after bytes were sent.
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

const KINDS: readonly FaultKind[] = ['answer', 'refuse', 'reset-at-once', 'reset', 'close', 'hang', 'half-answer', 'error-answer', 'garbage']
const faultSchema = fc.record({
  kind: fc.oneof({ weight: 2, arbitrary: fc.constantFrom(...KINDS) }, { weight: 3, arbitrary: fc.constant<FaultKind>('refuse') }),
  after: fc.constantFrom(0, 1, 100, 400, 5_000, 70_000)
})
const cutSchema = fc.record({ direction: fc.constantFrom('up' as const, 'down' as const), after: fc.constantFrom(0, 1, 50, 300, 5_000, 100_000) })
const callSchema = fc.record({
  method: fc.constantFrom('GET' as const, 'POST' as const),
  body: fc.constantFrom(0, 10, 5_000, 200_000),
  faults: fc.array(faultSchema, { minLength: TARGETS, maxLength: TARGETS }),
  cuts: fc.array(fc.option(cutSchema, { nil: undefined, freq: 1 }), { minLength: TARGETS, maxLength: TARGETS }),
  /** Time after which the caller gives up, if it does. */
  leaveMs: fc.option(fc.nat({ max: 30 }), { nil: undefined, freq: 6 })
})

interface Failed { verdict: string, code: string }

describe.each(['local', 'remote'] as const)('%s path', path => {
  const targets = Array.from({ length: TARGETS }, () => new FaultyTarget())
  let links: FaultyLink[] = []
  let mesh: Mesh
  let agent: Agent
  const seen = new Map<string, number>()
  let serial = 0

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
    for (const one of [...links, ...targets]) await one.stop()
  })

  beforeEach(() => { seen.clear() })

  function countBytes (id: string): number {
    return targets.reduce((sum, target) => sum + (target.bytes.get(id) ?? 0) + (target.bytes.get(UNNAMED_CALL) ?? 0), 0)
  }

  async function sendOne (id: string, call: { method: 'GET' | 'POST', body: number, leaveMs: number | undefined }): Promise<Failed | undefined> {
    const signal = call.leaveMs === undefined ? undefined : AbortSignal.timeout(call.leaveMs)
    const url = `http://${mesh.caller}${call.method === 'GET' ? '/read' : '/write'}/${id}`
    const headers = { 'x-comfreyspoke-service': 'desk', 'x-comfreyspoke-deadline-ms': String(DEADLINE_MS) }
    const body = call.method === 'GET' ? null : Buffer.alloc(call.body)
    try {
      const answer = await request(url, { method: call.method, dispatcher: agent, headers, body, ...(signal === undefined ? {} : { signal }) })
      const text = await answer.body.text()
      return answer.headers['x-comfreyspoke-verdict'] === undefined ? undefined : JSON.parse(text) as Failed
    } catch {
      return undefined
    }
  }

  test('no target got a byte of a request that was reported as not run', async () => {
    await fc.assert(fc.asyncProperty(callSchema, async ({ faults, cuts, ...call }) => {
      for (const [index, target] of targets.entries()) await target.setFault(faults[index] ?? { kind: 'answer', after: 0 })
      for (const [index, link] of links.entries()) {
        link.cut = cuts[index]
        link.reset()
      }
      serial += 1
      const id = `call-${serial}`
      const failed = await sendOne(id, call)
      await mesh.awaitIdle()
      if (failed?.verdict === 'not-run') expect({ code: failed.code, bytes: countBytes(id) }).toEqual({ code: failed.code, bytes: 0 })
      const label = failed === undefined ? 'answered' : `${failed.verdict} ${failed.code}`
      seen.set(label, (seen.get(label) ?? 0) + 1)
    }), readPropertyParameters(RUNS))
    // Without refusals of either kind the property would hold of anything.
    const labels = [...seen.keys()].join()
    expect(labels).toContain('not-run')
    expect(labels).toContain('may-have-run')
  })
})
