/**
 * `npm run bench -- NAME [ARGUMENT…] [--json FILE]`: runs one benchmark, which prints its rows. `--json` also writes them to FILE.
 */
import { writeFile } from 'node:fs/promises'
import { runCalls } from './calls.js'
import { runCapacity } from './capacity.js'
import { runCold } from './cold.js'
import { runConvergence } from './convergence.js'
import { runMembers } from './members.js'

type Benchmark = (args: readonly string[]) => Promise<unknown>

const BENCHMARKS: Readonly<Record<string, Benchmark>> = {
  calls: runCalls,
  capacity: runCapacity,
  cold: runCold,
  convergence: runConvergence,
  members: runMembers
}

const [name = '', ...commandArguments] = process.argv.slice(2)
const jsonFlagIndex = commandArguments.indexOf('--json')
const file = jsonFlagIndex < 0 ? undefined : commandArguments[jsonFlagIndex + 1]
const benchmarkArguments = jsonFlagIndex < 0
  ? commandArguments
  : commandArguments.filter((_, index) => index !== jsonFlagIndex && index !== jsonFlagIndex + 1)
const runBenchmark = BENCHMARKS[name]
if (runBenchmark === undefined) {
  process.stderr.write(`bench: unknown or missing benchmark name; expected one of ${Object.keys(BENCHMARKS).join(', ')}\n`)
  process.exit(2)
}
const rows = await runBenchmark(benchmarkArguments)
if (file !== undefined) await writeFile(file, `${JSON.stringify(rows, null, 2)}\n`)
process.exit()
