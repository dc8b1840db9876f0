/**
 * Requests in flight on the targets of this host. When a target crashes, each that it may have run gets a mark.
 */
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import { clearCrashMarks, isBlocked, isSuspect, addCrashMarks } from '../../suspect/index.js'
import type { SuspectTable } from '../../suspect/index.js'

export interface InFlightRequest {
  /** The whole answer came. */
  finish: () => void
  /** The target cannot have run the request. */
  discard: () => void
  /** The exchange failed after it began. True when the target crashed. */
  fail: (address: string) => Promise<boolean>
}

const SUSPECT_RETRY_AFTER_MS = 100
const BLOCKED_RETRY_AFTER_MS = 60_000

export const TARGET_CRASHED = 'target_crashed'

export class CrashTracker {
  /** Fingerprints in flight by target, with how many times each. */
  private readonly inFlight = new Map<string, Map<string, number>>()
  private readonly probes = new Map<string, Promise<boolean>>()

  /** `isRefused` says whether a new connection to an address is refused. */
  constructor (
    private readonly host: string, private readonly suspects: SuspectTable, private readonly isConnectionRefused: (address: string) => Promise<boolean>
  ) {}

  /**
   * A marked request waits while another marked one is on the target: if both caused a crash,
   * nobody could tell which one did, and the innocent one would be blocked too.
   */
  beginRequest (target: string, fingerprint: string | undefined): Result<InFlightRequest, Failure> {
    if (fingerprint === undefined) return Ok({ finish: () => {}, discard: () => {}, fail: async () => false })
    const refusal = rejectBlocked(this.suspects, fingerprint)
    if (refusal !== undefined) return Err(refusal)
    const held = this.inFlight.get(target) ?? new Map<string, number>()
    if (isSuspect(this.suspects, fingerprint) && [...held.keys()].some(other => other !== fingerprint && isSuspect(this.suspects, other))) {
      return Err(makeFailure('not-run', 503, 'suspect_waits', 'another request under suspicion is on this target', SUSPECT_RETRY_AFTER_MS))
    }
    this.inFlight.set(target, held)
    held.set(fingerprint, (held.get(fingerprint) ?? 0) + 1)
    return Ok({
      finish: () => {
        this.removeInFlight(target, fingerprint)
        clearCrashMarks(this.suspects, [fingerprint])
      },
      discard: () => { this.removeInFlight(target, fingerprint) },
      fail: async address => await this.endFailed(target, fingerprint, address)
    })
  }

  /** The target stopped announcing itself, with its connections still open. */
  markCrashed (target: string): void {
    this.markAll(target, [...this.inFlight.get(target)?.keys() ?? []])
  }

  private markAll (target: string, fingerprints: readonly string[]): void {
    addCrashMarks(this.suspects, fingerprints.map(fingerprint => ({ fingerprint, target: `${this.host}/${target}`, ageMs: 0 })))
  }

  private async endFailed (target: string, fingerprint: string, address: string): Promise<boolean> {
    const probe = this.probes.get(target) ?? this.checkTarget(target, address)
    this.probes.set(target, probe)
    const isCrashed = await probe
    if (isCrashed) this.markAll(target, [fingerprint])
    this.removeInFlight(target, fingerprint)
    return isCrashed
  }

  /** One for all requests that a target loses at the same moment. */
  private async checkTarget (target: string, address: string): Promise<boolean> {
    const isCrashed = await this.isConnectionRefused(address)
    this.probes.delete(target)
    return isCrashed
  }

  private removeInFlight (target: string, fingerprint: string): void {
    const held = this.inFlight.get(target)
    const left = (held?.get(fingerprint) ?? 1) - 1
    if (left > 0) held?.set(fingerprint, left)
    else held?.delete(fingerprint)
    if (held?.size === 0) this.inFlight.delete(target)
  }
}

export function rejectBlocked (table: SuspectTable, fingerprint: string | undefined): Failure | undefined {
  if (fingerprint === undefined || !isBlocked(table, fingerprint)) return undefined
  return makeFailure('not-run', 503, 'quarantined', 'this request was in flight when two targets crashed', BLOCKED_RETRY_AFTER_MS)
}
