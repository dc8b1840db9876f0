/**
 * P4: a caller receives the complete response to its own request or a failure, while targets respond late, out of order
 * or in large chunks, or abort a response. Guards against a truncated response that ends like a complete one, and against
 * a response that reaches another caller over a reused connection.
 */
import type { RequestListener } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { Agent, request } from 'undici'
import { startMesh } from '../fixtures/mesh.js'
import type { Mesh } from '../fixtures/mesh.js'
import { openRawConnection, readRawResponse } from '../fixtures/raw.js'
import { readPropertyParameters } from '../fixtures/property.js'

const RUNS = 60
const CHUNK_BYTES = 8_000

/** How a target responds to one request: after a delay, in a number of chunks, and with an abort before one of them. */
const anyBehaviour = fc.record({
  delayMs: fc.nat({ max: 20 }),
  chunks: fc.oneof(fc.nat({ max: 4 }), fc.integer({ min: 20, max: 80 })),
  abortBefore: fc.option(fc.nat({ max: 90 }), { nil: null }),
  hasContentLength: fc.boolean(),
  pauses: fc.boolean()
})
interface Behaviour { delayMs: number, chunks: number, abortBefore: number | null, hasContentLength: boolean, pauses: boolean }

function makeChunk (id: string, number: number): string {
  return `${id}/${number};`.padEnd(CHUNK_BYTES, '.')
}

function makeCompleteBody (id: string, { chunks }: Behaviour): string {
  return Array.from({ length: chunks }, (_, number) => makeChunk(id, number)).join('')
}

const respondAsRequested: RequestListener = (message, response) => {
  const id = String(message.headers['x-echo'])
  const behaviour = JSON.parse(String(message.headers['x-behaviour'])) as Behaviour
  const respond = async (): Promise<void> => {
    await delay(behaviour.delayMs)
    response.writeHead(200, { 'x-echo': id, ...(behaviour.hasContentLength ? { 'content-length': behaviour.chunks * CHUNK_BYTES } : {}) })
    for (let number = 0; number < behaviour.chunks; number += 1) {
      if (number === behaviour.abortBefore) {
        response.socket?.destroy()
        return
      }
      response.write(makeChunk(id, number))
      if (behaviour.pauses && number % 8 === 0) await delay(1)
    }
    response.end()
  }
  respond().catch(() => { response.destroy() })
}

let callCount = 0

describe.each(['local', 'remote'] as const)('%s path', path => {
  let mesh: Mesh
  let agent: Agent

  beforeAll(async () => {
    agent = new Agent({ connections: 20 })
    mesh = await startMesh({
      targets: [respondAsRequested, respondAsRequested, respondAsRequested], path, document: { limits: { slots: 6, queue: 100 } }
    })
  })
  afterAll(async () => {
    await agent.destroy()
    await mesh.close()
  })

  async function checkCall (behaviour: Behaviour): Promise<void> {
    callCount += 1
    const id = `call-${callCount}`
    const willBeTruncated = behaviour.abortBefore !== null && behaviour.abortBefore < behaviour.chunks
    const headers = { 'x-comfreyspoke-service': 'desk', 'x-echo': id, 'x-behaviour': JSON.stringify(behaviour) }
    const response = await request(`http://${mesh.caller}/read`, { dispatcher: agent, headers }).catch(() => undefined)
    const text = await response?.body.text().catch(() => undefined)
    if (response === undefined || text === undefined) {
      expect(willBeTruncated).toBe(true)
    } else if (response.statusCode === 200) {
      expect(willBeTruncated).toBe(false)
      expect(response.headers['x-echo']).toBe(id)
      expect(text === makeCompleteBody(id, behaviour)).toBe(true)
    } else {
      expect((JSON.parse(text) as { verdict: string }).verdict).not.toBe('ran')
    }
  }

  test('each of many concurrent callers receives the complete response to its own request, or a failure', async () => {
    await fc.assert(fc.asyncProperty(fc.array(anyBehaviour, { minLength: 1, maxLength: 24 }), async behaviours => {
      await Promise.all(behaviours.map(checkCall))
    }), readPropertyParameters(RUNS))
  })

  test('an HTTP/1.0 caller, for which a close ends a response, sees a truncated response as a reset', async () => {
    await fc.assert(fc.asyncProperty(anyBehaviour, async behaviour => {
      callCount += 1
      const id = `call-${callCount}`
      const socket = await openRawConnection(mesh.caller)
      const rawResponse = readRawResponse(socket)
      socket.write(`GET /read HTTP/1.0\r\nx-comfreyspoke-service: desk\r\nx-echo: ${id}\r\nx-behaviour: ${JSON.stringify(behaviour)}\r\n\r\n`)
      const { wasReset, text, status } = await rawResponse
      const body = text.slice(text.indexOf('\r\n\r\n') + 4)
      if (!wasReset && status === 200) expect(body === makeCompleteBody(id, behaviour)).toBe(true)
    }), readPropertyParameters(RUNS))
  })
})
