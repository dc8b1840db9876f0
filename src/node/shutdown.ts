/**
 * Closes the ports of a stopping node in an order that aborts no request in flight.
 */
import type { Clock } from '../core/index.js'
import type { HttpPort } from './port.js'

/** After this time, no reachable node picks a target of a host that announced that it is leaving. */
export const LEAVE_PROPAGATION_MS = 2_500

export interface DrainedPorts { caller: HttpPort, inbound: HttpPort, clock: Clock }

/** `propagationMs` is the rest of LEAVE_PROPAGATION_MS. Resolves to true if all requests ended in time, to false if the timeout passed first. */
export async function drainPorts (ports: DrainedPorts, propagationMs: number, timeoutMs: number): Promise<boolean> {
  const ended = new AbortController()
  const timeout = ports.clock.sleep(timeoutMs, ended.signal).then(() => false)
  const completed = await Promise.race([closePorts(ports, propagationMs), timeout])
  ended.abort()
  return completed
}

/**
 * The caller port stays open while a request may still run on a target of this host, since that
 * request may make calls of its own through this node.
 */
async function closePorts ({ caller, inbound, clock }: DrainedPorts, propagationMs: number): Promise<boolean> {
  caller.announceClose()
  inbound.announceClose()
  await clock.sleep(propagationMs)
  inbound.stopAccepting()
  await Promise.all([caller.inFlight.awaitCurrent(), inbound.inFlight.awaitIdle()])
  caller.stopAccepting()
  await caller.inFlight.awaitIdle()
  return true
}
