/**
 * Output of the operator's tool: text for people, or one JSON value with `--json`. Faults go to standard error.
 */
import { formatFault } from '../core/index.js'
import type { Fault } from '../core/index.js'
import { findExitCode } from './exit.js'

export function printResult (json: boolean, value: unknown, text: string): void {
  process.stdout.write(`${json ? JSON.stringify(value) : text}\n`)
}

export function reportFaults (json: boolean, faults: readonly Fault[]): void {
  for (const fault of faults) {
    process.stderr.write(`${json ? JSON.stringify(fault) : `comfreyspoke: ${fault.code}: ${formatFault(fault)}`}\n`)
  }
  process.exitCode = findExitCode(faults[0]?.code ?? '')
}
