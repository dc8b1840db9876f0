/**
 * Where a node gets its state from: another node, the platform, or for a while nothing at all.
 */
export type UpstreamEnd =
  | { reason: 'closed' | 'silent' | 'stalled' | 'loop' | 'moved' | 'no-source', detail: string }
  | { reason: 'redirect', peers: string[] }
  | { reason: 'retry', afterMs: number, duties: string[] }

export abstract class Upstream {
  /** For logs, status and the time line. */
  abstract readonly name: string
  /** Called when the upstream has accepted this node. */
  onAttached: () => void = () => {}
  private accepted = false

  get attached (): boolean {
    return this.accepted
  }

  /** Runs until the source fails or the signal is aborted. */
  abstract run (signal: AbortSignal): Promise<UpstreamEnd>

  protected markAttached (): void {
    if (this.accepted) return
    this.accepted = true
    this.onAttached()
  }
}

/** No source at all: the node goes on as the root of what it can reach. */
export class DetachedUpstream extends Upstream {
  override readonly name = 'detached'

  override async run (signal: AbortSignal): Promise<UpstreamEnd> {
    this.markAttached()
    if (!signal.aborted) await new Promise<void>(resolve => { signal.addEventListener('abort', () => { resolve() }, { once: true }) })
    return { reason: 'moved', detail: 'another source answers' }
  }
}
