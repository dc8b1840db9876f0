/**
 * Guards against a request without the peer token that reaches a target, and a token that is forwarded to a target.
 */
import type { IncomingMessage } from 'node:http'
import { describe, expect, test } from '@jest/globals'
import { matchesSecret, verifyToken, TOKEN_HEADER } from '../src/request/index.js'

function makeMessage (headers: IncomingMessage['headers']): IncomingMessage {
  return { headers } as unknown as IncomingMessage
}

describe('token of the inbound port', () => {
  test('is removed from the request', () => {
    const message = makeMessage({ [TOKEN_HEADER]: 'secret', accept: '*/*' })
    expect(verifyToken(message, 'secret')).toBe(true)
    expect(message.headers).toEqual({ accept: '*/*' })
  })

  test.each([undefined, '', 'Secret', 'secret2'])('rejects %p', given => {
    expect(verifyToken(makeMessage(given === undefined ? {} : { [TOKEN_HEADER]: given }), 'secret')).toBe(false)
  })

  test('is not required when no token is configured', () => {
    expect(verifyToken(makeMessage({}), undefined)).toBe(true)
  })

  test('a missing secret does not match', () => {
    expect(matchesSecret(undefined, 'x')).toBe(false)
  })
})
