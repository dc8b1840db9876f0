/**
 * The token between nodes: a request without it must not reach a target, and a target must not see it.
 */
import type { IncomingMessage } from 'node:http'
import { describe, expect, test } from '@jest/globals'
import { matchesSecret, verifyToken, TOKEN_HEADER } from '../src/request/index.js'

function makeMessage (headers: IncomingMessage['headers']): IncomingMessage {
  return { headers } as unknown as IncomingMessage
}

describe('token of the inbound port', () => {
  test('is taken off the request', () => {
    const message = makeMessage({ [TOKEN_HEADER]: 'secret', accept: '*/*' })
    expect(verifyToken(message, 'secret')).toBe(true)
    expect(message.headers).toEqual({ accept: '*/*' })
  })

  test.each([undefined, '', 'Secret', 'secret2'])('refuses %p', given => {
    expect(verifyToken(makeMessage(given === undefined ? {} : { [TOKEN_HEADER]: given }), 'secret')).toBe(false)
  })

  test('is not asked for when none is set', () => {
    expect(verifyToken(makeMessage({}), undefined)).toBe(true)
  })

  test('an empty secret matches nothing but itself', () => {
    expect(matchesSecret(undefined, 'x')).toBe(false)
  })
})
