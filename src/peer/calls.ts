/**
 * Calls of one node to its peers.
 */
import type { Fault, Result } from '../core/index.js'
import type { ExchangeAnswer, ExchangeRequest } from './messages.js'

export abstract class PeerCalls {
  abstract exchange (address: string, request: ExchangeRequest): Promise<Result<ExchangeAnswer, Fault>>
}
