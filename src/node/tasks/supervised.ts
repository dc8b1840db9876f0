/**
 * Keeps a task of a node running. A task that ends with an unexpected error is reported and started again after a pause, so that one
 * error neither ends the process nor leaves the node without the task.
 */
import type { Clock } from '../../core/index.js'

export interface SupervisedTask {
  name: string
  run: () => Promise<void>
}

export type ReportError = (origin: string, error: unknown) => void

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

/**
 * Reports errors that nothing else handles, and lets the process go on: each request and each task has a state of its own, so that an
 * error in one of them leaves the others intact.
 */
export function handleUnexpectedErrors (reportError: ReportError): void {
  // A log line that cannot be written would otherwise cause the next one.
  process.stdout.on('error', () => {})
  process.on('uncaughtException', error => { reportError('process', error) })
  process.on('unhandledRejection', error => { reportError('promise', error) })
}
