/**
 * Output of the operator's tool: text, or one JSON value with `--json`. Faults are written to standard error.
 */
import { formatFault } from '../core/index.js'
import type { Fault } from '../core/index.js'
import { findExitCode } from './exit.js'

export function printResult (json: boolean, value: unknown, text: string): void {
  process.stdout.write(`${json ? JSON.stringify(value) : text}\n`)
}

/** A fault in a file, with the line number when it is known. */
export interface FileFault extends Fault { file: string, line?: number }

/** Formats a fault as `desk.yaml:7: routes.check.deadlineMs: has the wrong type (expected number, found "soon")`. */
export function formatFileFault (fault: FileFault): string {
  const place = fault.line === undefined ? fault.file : `${fault.file}:${fault.line}`
  return `${place}: ${formatFault(fault)}`
}

export function reportFaults (json: boolean, faults: ReadonlyArray<Fault | FileFault>): void {
  for (const fault of faults) {
    process.stderr.write(
      `${json ? JSON.stringify(fault) : `comfreyspoke: ${fault.code}: ${'file' in fault ? formatFileFault(fault) : formatFault(fault)}`}\n`
    )
  }
  process.exitCode = findExitCode(faults[0]?.code ?? '')
}
