/**
 * Where a node gets its state from: another node, or the platform itself.
 */
export type UpstreamEnd =
  | { reason: 'closed' | 'silent' | 'loop' | 'moved', detail: string }
  | { reason: 'redirect', peers: string[] }
  | { reason: 'retry', afterMs: number }

export abstract class Upstream {
  /** For logs, status and the time line. */
  abstract readonly name: string
  /** Runs until the source fails or the signal is aborted. */
  abstract run (signal: AbortSignal): Promise<UpstreamEnd>
}
