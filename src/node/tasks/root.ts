/**
 * The task of a node at the root of its tree: counts the ticks that the nodes below see in beats.
 */
import type { Clock } from '../../core/index.js'
import type { Replica } from '../../peer/index.js'

const TICK_MS = 500

export class RootTicker {
  /** Whether the platform answers this node. */
  sourceUp = false
  private upstream: string | undefined

  constructor (private readonly replica: Replica, private readonly clock: Clock) {}

  get isActive (): boolean {
    return this.upstream !== undefined
  }

  start (upstream: string, sourceUp: boolean): void {
    this.upstream = upstream
    this.sourceUp = sourceUp
    this.tick()
  }

  stop (): void {
    this.upstream = undefined
  }

  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(TICK_MS, signal)
      this.tick()
    }
  }

  private tick (): void {
    if (this.upstream === undefined) return
    const { identity, place } = this.replica
    this.replica.moveTo({
      path: [identity.host],
      pathPeers: [identity.peer],
      candidates: [],
      tick: place.tick + 1,
      sourceUp: this.sourceUp,
      upstream: this.upstream
    })
  }
}
