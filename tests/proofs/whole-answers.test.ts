/**
 * P4: a caller gets the whole answer to its own request or a failure, while targets answer late, in
 * another order, in large pieces, or break off. Guards against a cut answer that ends like a whole
 * one, and against an answer that reaches another caller over a connection used again.
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
const PIECE_BYTES = 8_000

/** How a target answers one request: after a time, in so many pieces, breaking off before one of them. */
const behaviourSchema = fc.record({
  lateMs: fc.nat({ max: 20 }),
  pieces: fc.oneof(fc.nat({ max: 4 }), fc.integer({ min: 20, max: 80 })),
  cutBefore: fc.option(fc.nat({ max: 90 }), { nil: null }),
  sized: fc.boolean(),
  pauses: fc.boolean()
})
interface Behaviour { lateMs: number, pieces: number, cutBefore: number | null, sized: boolean, pauses: boolean }

function makePiece (id: string, number: number): string {
  return `${id}/${number};`.padEnd(PIECE_BYTES, '.')
}

function makeWhole (id: string, { pieces }: Behaviour): string {
  return Array.from({ length: pieces }, (_, number) => makePiece(id, number)).join('')
}

const answerAsAsked: RequestListener = (message, response) => {
  const id = String(message.headers['x-echo'])
  const behaviour = JSON.parse(String(message.headers['x-behaviour'])) as Behaviour
  const run = async (): Promise<void> => {
    await delay(behaviour.lateMs)
    response.writeHead(200, { 'x-echo': id, ...(behaviour.sized ? { 'content-length': behaviour.pieces * PIECE_BYTES } : {}) })
    for (let number = 0; number < behaviour.pieces; number += 1) {
      if (number === behaviour.cutBefore) {
        response.socket?.destroy()
        return
      }
      response.write(makePiece(id, number))
      if (behaviour.pauses && number % 8 === 0) await delay(1)
    }
    response.end()
  }
  run().catch(() => { response.destroy() })
}

let serial = 0

describe.each(['local', 'remote'] as const)('%s path', path => {
  let mesh: Mesh
  let agent: Agent

  beforeAll(async () => {
    agent = new Agent({ connections: 20 })
    mesh = await startMesh({ targets: [answerAsAsked, answerAsAsked, answerAsAsked], path, document: { limits: { slots: 6, queue: 100 } } })
  })
  afterAll(async () => {
    await agent.destroy()
    await mesh.close()
  })

  async function checkCall (behaviour: Behaviour): Promise<void> {
    serial += 1
    const id = `call-${serial}`
    const willBeCut = behaviour.cutBefore !== null && behaviour.cutBefore < behaviour.pieces
    const headers = { 'x-comfreyspoke-service': 'desk', 'x-echo': id, 'x-behaviour': JSON.stringify(behaviour) }
    const answer = await request(`http://${mesh.caller}/read`, { dispatcher: agent, headers }).catch(() => undefined)
    const text = await answer?.body.text().catch(() => undefined)
    if (answer === undefined || text === undefined) {
      expect(willBeCut).toBe(true)
    } else if (answer.statusCode === 200) {
      expect(willBeCut).toBe(false)
      expect(answer.headers['x-echo']).toBe(id)
      expect(text === makeWhole(id, behaviour)).toBe(true)
    } else {
      expect((JSON.parse(text) as { verdict: string }).verdict).not.toBe('ran')
    }
  }

  test('each of many callers at once gets its own whole answer, or a failure', async () => {
    await fc.assert(fc.asyncProperty(fc.array(behaviourSchema, { minLength: 1, maxLength: 24 }), async behaviours => {
      await Promise.all(behaviours.map(checkCall))
    }), readPropertyParameters(RUNS))
  })

  test('a caller of HTTP/1.0, for whom a close ends an answer, sees a cut as a reset', async () => {
    await fc.assert(fc.asyncProperty(behaviourSchema, async behaviour => {
      serial += 1
      const id = `call-${serial}`
      const socket = await openRawConnection(mesh.caller)
      const raw = readRawResponse(socket)
      socket.write(`GET /read HTTP/1.0\r\nx-comfreyspoke-service: desk\r\nx-echo: ${id}\r\nx-behaviour: ${JSON.stringify(behaviour)}\r\n\r\n`)
      const { wasReset, text, status } = await raw
      const body = text.slice(text.indexOf('\r\n\r\n') + 4)
      if (!wasReset && status === 200) expect(body === makeWhole(id, behaviour)).toBe(true)
    }), readPropertyParameters(RUNS))
  })
})
