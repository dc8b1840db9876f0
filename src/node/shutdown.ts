/**
 * The order in which a node stops so that no request in flight is cut.
 */
import type { Clock } from '../core/index.js'
import type { HttpPort } from './port.js'

/** Time after which no reachable node picks a target of a host that announced leaving. */
export const LEAVE_PROPAGATION_MS = 2_500

export interface DrainedPorts { caller: HttpPort, inbound: HttpPort, clock: Clock }

/** `spreadMs` is what is left of SPREAD_MS. True when all ended in time, false when the limit passed first. */
export async function drainPorts (ports: DrainedPorts, spreadMs: number, limitMs: number): Promise<boolean> {
  const ended = new AbortController()
  const limit = ports.clock.sleep(limitMs, ended.signal).then(() => false)
  const whole = await Promise.race([closePorts(ports, spreadMs), limit])
  ended.abort()
  return whole
}

/**
 * The caller port stays open while a request may still run on a target of this host, since that
 * request may make calls of its own through this node.
 */
async function closePorts ({ caller, inbound, clock }: DrainedPorts, spreadMs: number): Promise<boolean> {
  caller.announceClose()
  inbound.announceClose()
  await clock.sleep(spreadMs)
  inbound.stopAccepting()
  await Promise.all([caller.inFlight.awaitCurrent(), inbound.inFlight.awaitIdle()])
  caller.stopAccepting()
  await caller.inFlight.awaitIdle()
  return true
}
