/**
 * Sends requests to peers.
 */
import type { Fault, Result } from '../core/index.js'
import type { ExchangeResponse, ExchangeRequest } from './messages.js'

export abstract class PeerTransport {
  abstract exchange (address: string, request: ExchangeRequest): Promise<Result<ExchangeResponse, Fault>>
}
