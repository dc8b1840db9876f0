/**
 * Tracks the requests in flight on the targets of this host. When a target crashes, each request that it may have run gets a crash mark.
 */
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import { clearCompleted, isBlocked, isSuspect, addCrashMarks } from '../../suspect/index.js'
import type { SuspectTable } from '../../suspect/index.js'

export interface InFlightRequest {
  /** The complete response has arrived. */
  finish: () => void
  /** The target cannot have run the request, so the request gets no crash mark. */
  discard: () => void
  /** The exchange failed after it began. Resolves to the name of the target's process if that has crashed. */
  fail: (address: string) => Promise<string | undefined>
}

const SUSPECT_RETRY_AFTER_MS = 100
const BLOCKED_RETRY_AFTER_MS = 60_000

export const TARGET_CRASHED = 'target_crashed'

export class CrashTracker {
  /** For each process of a target, the number of requests in flight by fingerprint. */
  private readonly inFlight = new Map<string, Map<string, number>>()
  private readonly probes = new Map<string, Promise<boolean>>()

  /**
   * `isConnectionRefused` resolves to true when the process at an address refuses a new connection. `formatProcess` returns the name of
   * the present process of a target: a target that starts again may keep its id, and crashes of two processes are two crashes.
   */
  constructor (
    private readonly host: string,
    private readonly suspects: SuspectTable,
    private readonly isConnectionRefused: (address: string) => Promise<boolean>,
    private readonly formatProcess: (target: string) => string = target => target
  ) {}

  /**
   * Rejects a request with crash marks while another such request is in flight on the target: if the target crashed,
   * it would be unclear which of the two caused it, and the unrelated request would be blocked, too.
   */
  beginRequest (target: string, fingerprint: string | undefined): Result<InFlightRequest, Failure> {
    if (fingerprint === undefined) return Ok({ finish: () => {}, discard: () => {}, fail: async () => undefined })
    const rejection = rejectBlocked(this.suspects, fingerprint)
    if (rejection !== undefined) return Err(rejection)
    const process = this.formatProcess(target)
    const counts = this.inFlight.get(process) ?? new Map<string, number>()
    if (isSuspect(this.suspects, fingerprint) && [...counts.keys()].some(other => other !== fingerprint && isSuspect(this.suspects, other))) {
      return Err(makeFailure('not-run', 503, 'suspect_waits', 'another suspect request is in flight on this target', SUSPECT_RETRY_AFTER_MS))
    }
    this.inFlight.set(process, counts)
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1)
    return Ok({
      finish: () => {
        this.removeInFlight(process, fingerprint)
        clearCompleted(this.suspects, fingerprint)
      },
      discard: () => { this.removeInFlight(process, fingerprint) },
      fail: async address => await this.endFailed(process, fingerprint, address)
    })
  }

  /** Marks all requests in flight on a target that stopped sending heartbeats while its connections stayed open. */
  markCrashed (target: string): void {
    const process = this.formatProcess(target)
    this.markAll(process, [...this.inFlight.get(process)?.keys() ?? []])
  }

  private markAll (process: string, fingerprints: readonly string[]): void {
    addCrashMarks(this.suspects, fingerprints.map(fingerprint => ({ fingerprint, target: `${this.host}/${process}`, ageMs: 0 })))
  }

  private async endFailed (process: string, fingerprint: string, address: string): Promise<string | undefined> {
    const probe = this.probes.get(process) ?? this.checkProcess(process, address)
    this.probes.set(process, probe)
    const isCrashed = await probe
    if (isCrashed) this.markAll(process, [fingerprint])
    this.removeInFlight(process, fingerprint)
    return isCrashed ? process : undefined
  }

  /** All requests that fail on a target at the same time share one probe, kept in `probes` until it resolves. */
  private async checkProcess (process: string, address: string): Promise<boolean> {
    const isCrashed = await this.isConnectionRefused(address)
    this.probes.delete(process)
    return isCrashed
  }

  private removeInFlight (process: string, fingerprint: string): void {
    const counts = this.inFlight.get(process)
    const remaining = (counts?.get(fingerprint) ?? 1) - 1
    if (remaining > 0) counts?.set(fingerprint, remaining)
    else counts?.delete(fingerprint)
    if (counts?.size === 0) this.inFlight.delete(process)
  }
}

export function rejectBlocked (suspects: SuspectTable, fingerprint: string | undefined): Failure | undefined {
  if (fingerprint === undefined || !isBlocked(suspects, fingerprint)) return undefined
  return makeFailure('not-run', 503, 'quarantined', 'the request is blocked: it was in flight when two targets crashed', BLOCKED_RETRY_AFTER_MS)
}
