/**
 * The token that nodes send to each other on the inbound port, so that other clients cannot bypass the routes to reach targets.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Failure, Result } from '../core/index.js'
import { HttpClient } from './httpclient.js'
import type { TargetResponse, OutgoingRequest } from './httpclient.js'

export const TOKEN_HEADER = 'x-comfreyspoke-peer-token'

/** Compares in constant time, so that the response time reveals nothing about the secret. */
export function matchesSecret (given: string | undefined, expected: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(given ?? ''), digest(expected))
}

/** Removes the header, so that no target receives it. Accepts every request when no token is configured. */
export function verifyToken (message: IncomingMessage, expected: string | undefined): boolean {
  const given = message.headers[TOKEN_HEADER]
  delete message.headers[TOKEN_HEADER]
  return expected === undefined || matchesSecret(typeof given === 'string' ? given : undefined, expected)
}

/** Adds the token to requests to other nodes. */
export class TokenHttpClient extends HttpClient {
  constructor (private readonly client: HttpClient, private readonly token: string) {
    super()
  }

  override async send (outgoing: OutgoingRequest): Promise<Result<TargetResponse, Failure>> {
    return await this.client.send({ ...outgoing, headers: { ...outgoing.headers, [TOKEN_HEADER]: this.token } })
  }

  override async close (): Promise<void> {
    await this.client.close()
  }
}
