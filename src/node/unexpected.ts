/**
 * Reports errors that nothing else handles, and lets the process go on: each request and each task has a state of its own, so that an
 * error in one of them leaves the others intact.
 */

/** `origin` is the task that failed, or where the process caught the error. */
export type ReportError = (origin: string, error: unknown) => void

export function handleUnexpectedErrors (reportError: ReportError): void {
  // A log line that cannot be written would otherwise cause the next one.
  process.stdout.on('error', () => {})
  process.on('uncaughtException', error => { reportError('process', error) })
  process.on('unhandledRejection', error => { reportError('promise', error) })
}
