/**
 * Tracks the requests in flight, so that a shutdown can wait for them to end.
 */
export class InFlightRequests {
  private readonly running = new Set<Promise<void>>()

  get size (): number {
    return this.running.size
  }

  /** Counts the work until it settles, whether it succeeds or fails. */
  track (work: Promise<void>): void {
    const settled: Promise<void> = work.catch(() => {}).then(() => { this.running.delete(settled) })
    this.running.add(settled)
  }

  /** Resolves when the current requests have ended. Requests that begin later are not awaited. */
  async awaitCurrent (): Promise<void> {
    await Promise.all(this.running)
  }

  async awaitIdle (): Promise<void> {
    while (this.running.size > 0) await this.awaitCurrent()
  }
}
