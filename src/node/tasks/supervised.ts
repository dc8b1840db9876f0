/**
 * Keeps a task of a node running. A task that ends with an unexpected error is reported and started again after a pause, so that one
 * error neither ends the process nor leaves the node without the task.
 */
import type { Clock } from '../../core/index.js'
import type { ReportError } from '../unexpected.js'

export interface SupervisedTask {
  name: string
  run: () => Promise<void>
}

const RESTART_DELAY_MS = 1_000

/** Resolves when the signal has aborted and the task has ended. */
export async function runSupervised ({ name, run }: SupervisedTask, clock: Clock, reportError: ReportError, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      await run()
    } catch (error) {
      reportError(name, error)
    }
    if (!signal.aborted) await clock.sleep(RESTART_DELAY_MS, signal)
  }
}
