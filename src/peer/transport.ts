/**
 * Sends requests to peers.
 */
import { Err, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import type { RolloutReport, RolloutResponse } from '../rollout/index.js'
import type { ExchangeResponse, ExchangeRequest } from './messages.js'

export abstract class PeerTransport {
  abstract exchange (address: string, request: ExchangeRequest): Promise<Result<ExchangeResponse, Fault>>
  /** Sends the counts of this node on a rollout to its coordinator. */
  async report (address: string, _report: RolloutReport): Promise<Result<RolloutResponse, Fault>> {
    return Err(makeFault('unreachable', `${address}: this transport has no reports`))
  }
}
