/**
 * Guards against requests that two HTTP parsers interpret differently, that stop the node, or that reach a target although
 * the verdict says that they were not run. Repeated headers, wrong framing and malformed bytes are typical causes.
 */
import { createServer } from 'node:http'
import type { RequestListener } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { startMesh, startTestServer } from './fixtures/mesh.js'
import type { Mesh, TestServer } from './fixtures/mesh.js'
import { readPropertyParameters } from './fixtures/property.js'
import { exchangeRaw, openRawConnection, readRawResponse } from './fixtures/raw.js'

const RUNS = 150
/** The sender closes a request without a proper end after this time; the response is checked like any other. */
const SEND_TIMEOUT_MS = 20
/** The target accepts larger heads than the nodes let callers send. */
const TARGET_HEAD_BYTES = 64 * 1024

let mesh: Mesh
let target: TestServer
/** Values of x-echo that a target received. */
const seen = new Set<string>()

const respondWithEcho: RequestListener = (message, response) => {
  seen.add(String(message.headers['x-echo']))
  buffer(message).then(body => { response.end(`${String(message.headers['x-echo'])}:${body.toString('latin1')}`) }, () => {})
}

beforeAll(async () => {
  target = await startTestServer(createServer({ maxHeaderSize: TARGET_HEAD_BYTES }, respondWithEcho))
  mesh = await startMesh({ targets: [target.address] })
})
afterAll(async () => {
  await mesh.close()
  await target.close()
})

function makeHead (method: string, path: string, headers: readonly string[]): string {
  return [`${method} ${path} HTTP/1.1`, 'host: desk', 'connection: close', ...headers, '', ''].join('\r\n')
}

let serial = 0

function makeEcho (): string {
  serial += 1
  return `echo-${serial}`
}

const REFUSED: ReadonlyArray<[string, number, string, string[], string]> = [
  ['two lengths', 400, 'POST', ['content-length: 3', 'content-length: 4'], 'abcd'],
  ['the same length twice', 400, 'POST', ['content-length: 3', 'content-length: 3'], 'abc'],
  ['length and coding', 400, 'POST', ['content-length: 3', 'transfer-encoding: chunked'], '0\r\n\r\n'],
  ['coding and length', 400, 'POST', ['transfer-encoding: chunked', 'content-length: 3'], '0\r\n\r\n'],
  ['a length with a sign', 400, 'POST', ['content-length: +3'], 'abc'],
  ['a list of lengths', 400, 'POST', ['content-length: 3, 3'], 'abc'],
  ['a coding that hides chunked', 400, 'POST', ['transfer-encoding: xchunked'], '0\r\n\r\n'],
  ['a coding before chunked', 400, 'POST', ['transfer-encoding: gzip, chunked'], '0\r\n\r\n'],
  ['two codings', 400, 'POST', ['transfer-encoding: chunked', 'transfer-encoding: chunked'], '0\r\n\r\n'],
  ['a space before the colon', 400, 'POST', ['content-length : 3'], 'abc'],
  ['a folded header', 400, 'GET', ['x-a: 1\r\n  2'], ''],
  ['a bare line feed in a header', 400, 'GET', ['x-a: 1\nx-b: 2'], ''],
  ['two hosts', 400, 'GET', ['host: other'], ''],
  ['two services', 400, 'GET', ['x-comfreyspoke-service: desk', 'x-comfreyspoke-service: other'], ''],
  ['a deadline that is not a number', 400, 'GET', ['x-comfreyspoke-deadline-ms: soon'], ''],
  ['a negative deadline', 400, 'GET', ['x-comfreyspoke-deadline-ms: -1'], ''],
  ['a deadline of zero', 400, 'GET', ['x-comfreyspoke-deadline-ms: 0'], ''],
  ['two deadlines', 400, 'GET', ['x-comfreyspoke-deadline-ms: 10', 'x-comfreyspoke-deadline-ms: 20'], ''],
  ['hops that are not a number', 400, 'GET', ['x-comfreyspoke-hops: few'], ''],
  ['too many hops', 508, 'GET', ['x-comfreyspoke-hops: 8'], ''],
  ['a head that is too large', 431, 'GET', [`x-a: ${'a'.repeat(20_000)}`], ''],
  ['a length above the limit of the route', 413, 'POST', ['content-length: 1001'], 'a']
]

describe('a rejected request', () => {
  test.each(REFUSED)('%s: status %i, not run', async (_, status, method, headers, body) => {
    const echo = makeEcho()
    const path = method === 'POST' ? '/small' : '/read'
    const response = await exchangeRaw(mesh.caller, [makeHead(method, path, [`x-echo: ${echo}`, ...headers]) + body])
    expect(response).toMatchObject({ status, verdict: 'not-run' })
    expect(seen.has(echo)).toBe(false)
  })

  test.each(['/read/../write', '/read/%2e%2E/write', '/read/..%2fwrite', '/read/./x', '/read/..\\write'])('path %s, which could match another route at the target, is rejected', async path => {
    expect(await exchangeRaw(mesh.caller, [makeHead('GET', path, [])])).toMatchObject({ status: 400, verdict: 'not-run' })
  })

  test('the target-side node rejects a request without a deadline', async () => {
    const response = await exchangeRaw(String(mesh.inbound[0]), [makeHead('GET', '/read', ['x-comfreyspoke-target: t-0'])])
    expect(response).toMatchObject({ status: 400, verdict: 'not-run' })
  })
})

describe('a large head', () => {
  test('that is just within the limit for callers reaches its target, although the caller-side node adds headers', async () => {
    const echo = makeEcho()
    const head = makeHead('GET', '/read', [`x-echo: ${echo}`, `x-a: ${'a'.repeat(16_200)}`])
    expect(head.length).toBeLessThan(16 * 1024)
    expect(await exchangeRaw(mesh.caller, [head], Infinity)).toMatchObject({ status: 200 })
    expect(seen.has(echo)).toBe(true)
  })
})

describe('a chunked body', () => {
  test.each(['zz\r\nabc\r\n', '3\r\nabcd\r\n0\r\n\r\n', '-1\r\n\r\n', 'ffffffffffffffffff\r\nabc'])('that is malformed (%j) never gets a success response', async body => {
    const response = await exchangeRaw(mesh.caller, [makeHead('POST', '/small', ['transfer-encoding: chunked', `x-echo: ${makeEcho()}`]) + body])
    expect(response.status).not.toBe(200)
    expect(response.verdict).not.toBe('ran')
  })
})

describe('any input', () => {
  test('a request that arrives in any pieces is parsed like a request in one piece', async () => {
    const text = fc.string({ maxLength: 200, unit: 'grapheme-ascii' })
    await fc.assert(fc.asyncProperty(text, fc.boolean(), fc.array(fc.nat({ max: 400 }), { maxLength: 6 }), async (body, chunked, cuts) => {
      const echo = makeEcho()
      const framing = chunked ? 'transfer-encoding: chunked' : `content-length: ${body.length}`
      const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`
      const whole = makeHead('POST', '/small', [`x-echo: ${echo}`, framing]) + (chunked ? `${chunk}0\r\n\r\n` : body)
      const response = await exchangeRaw(mesh.caller, splitAt(whole, cuts), Infinity)
      expect(response.status).toBe(200)
      expect(response.text).toContain(`${echo}:${body}`)
    }), readPropertyParameters(RUNS))
  })

  test('mutated bytes never stop the node, and a not-run verdict is true', async () => {
    const insert = fc.constantFrom('', '\0', '\r\n', '\n', ' ', ':', ',', '\x80', '-', '9', 'content-length: 1\r\n', 'chunked')
    const mutation = fc.record({ at: fc.nat({ max: 400 }), remove: fc.nat({ max: 4 }), insert })
    await fc.assert(fc.asyncProperty(fc.array(mutation, { minLength: 1, maxLength: 3 }), fc.boolean(), async (list, chunked) => {
      const echo = makeEcho()
      const framing = chunked ? ['transfer-encoding: chunked', '5\r\nhello\r\n0\r\n\r\n'] as const : ['content-length: 5', 'hello'] as const
      // The x-echo header is not mutated, so that the test can check whether the target received the request.
      const start = `POST /small HTTP/1.1\r\nx-echo: ${echo}\r\n`
      const rest = `host: desk\r\nconnection: close\r\nx-comfreyspoke-deadline-ms: 900\r\n${framing[0]}\r\n\r\n${framing[1]}`
      const mutated = list.reduce((text, { at, remove, insert }) => {
        const position = at % text.length
        return text.slice(0, position) + insert + text.slice(position + remove)
      }, rest)
      const response = await exchangeRaw(mesh.caller, [start + mutated], SEND_TIMEOUT_MS)
      if (response.verdict === 'not-run') expect(seen.has(echo)).toBe(false)
      const echoAfter = makeEcho()
      expect((await exchangeRaw(mesh.caller, [makeHead('GET', '/read', [`x-echo: ${echoAfter}`])], Infinity)).text).toContain(`${echoAfter}:`)
    }), readPropertyParameters(RUNS))
  })

  test('a request whose sender stops in the middle of a short body never reaches a target', async () => {
    const socket = await openRawConnection(mesh.caller)
    const raw = readRawResponse(socket)
    const echo = makeEcho()
    socket.write(makeHead('POST', '/quick', ['content-length: 10', `x-echo: ${echo}`]) + 'abc')
    // The deadline of the route ends the request.
    expect(await raw).toMatchObject({ status: 504, verdict: 'not-run' })
    expect(seen.has(echo)).toBe(false)
  })

  test('all slots are released at the end', async () => {
    while (mesh.localTargets[0]?.countUsedSlots() !== 0) await new Promise(resolve => { setTimeout(resolve, 5) })
  })
})

function splitAt (text: string, cuts: readonly number[]): string[] {
  const positions = [...new Set(cuts.map(cut => cut % text.length))].sort((left, right) => left - right)
  return [0, ...positions].map((position, index) => text.slice(position, positions[index] ?? text.length)).filter(piece => piece !== '')
}
