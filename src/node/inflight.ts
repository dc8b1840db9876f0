/**
 * Requests that are being served, for a shutdown that waits for their ends.
 */
export class InFlightRequests {
  private readonly running = new Set<Promise<void>>()

  get size (): number {
    return this.running.size
  }

  /** Counts the work until it settles, whatever comes of it. */
  track (work: Promise<void>): void {
    const settled: Promise<void> = work.catch(() => {}).then(() => { this.running.delete(settled) })
    this.running.add(settled)
  }

  /** Resolves when all that runs now has ended; what begins meanwhile is not waited for. */
  async awaitCurrent (): Promise<void> {
    await Promise.all(this.running)
  }

  async awaitIdle (): Promise<void> {
    while (this.running.size > 0) await this.awaitCurrent()
  }
}
