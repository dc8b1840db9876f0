/**
 * Stops a node: announces that its host is leaving, and closes its ports in an order that aborts no request in flight.
 */
import type { Clock } from '../core/index.js'
import type { LocalHostRegistration } from './commands/localhost.js'
import type { StopResult } from './parts.js'
import type { HttpPort } from './port.js'
import type { NodeState } from './state.js'
import type { HostDirectory } from './tasks/directory.js'
import type { NodeTelemetry } from './telemetry.js'

/** Maximum wait at shutdown until the local host's object is removed from the store. */
const REMOVE_WAIT_MS = 200
/** After this time, no reachable node picks a target of a host that announced that it is leaving. */
const LEAVE_PROPAGATION_MS = 2_500

export interface DrainedPorts { caller: HttpPort, inbound: HttpPort, clock: Clock }

export interface ShutdownContext extends DrainedPorts {
  state: NodeState
  telemetry: NodeTelemetry
  registration: LocalHostRegistration
  directory: HostDirectory
  countInFlight: () => number
  getDrainMs: () => number
  /** Ends the tasks of the node. */
  stopTasks: () => void
}

export class NodeShutdown {
  private stopping: Promise<StopResult> | undefined
  /** The monotonic time at which requests in flight are cut, set when the node begins to stop. */
  private stopsAt: number | undefined

  constructor (private readonly context: ShutdownContext) {}

  get hasBegun (): boolean {
    return this.stopping !== undefined
  }

  /** Notifies the peers, stops accepting requests, and lets requests in flight end. Safe to call again. */
  async stop (): Promise<StopResult> {
    this.stopping ??= this.shutDown()
    return await this.stopping
  }

  /** Returns the rest of the drain timeout, or undefined until callers have had time to see that this node is stopping. */
  getTimeLeftMs (): number | undefined {
    const { clock, registration } = this.context
    if (this.stopsAt === undefined || registration.leavingAt === undefined) return undefined
    const at = clock.monotonic()
    return at - registration.leavingAt < LEAVE_PROPAGATION_MS ? undefined : this.stopsAt - at
  }

  private async shutDown (): Promise<StopResult> {
    const { clock, telemetry, state, registration, directory, countInFlight, stopTasks } = this.context
    const drainMs = this.context.getDrainMs()
    telemetry.recordStopping(countInFlight(), drainMs)
    const at = clock.monotonic()
    this.stopsAt = at + drainMs
    const sinceLeavingMs = at - registration.startLeaving(countInFlight())
    const completed = await drainPorts(this.context, Math.max(0, LEAVE_PROPAGATION_MS - sinceLeavingMs), drainMs)
    // The process ends soon, but a connection that was opened before and has not carried a request yet is still open.
    this.stopsAt = clock.monotonic()
    stopTasks()
    telemetry.log.log('change', 'node_stopped', { whole: completed, inFlight: countInFlight() })
    // The object of a host whose targets crashed keeps the marks of the requests until the other nodes remove it.
    const isNeeded = state.localHost.listHeartbeats().length > 0 || (state.localHost.newestRecord?.marks ?? []).length > 0
    if (!isNeeded) await Promise.race([directory.remove(state.identity.host), clock.sleep(REMOVE_WAIT_MS)])
    return completed ? 'whole' : 'cut'
  }
}

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
