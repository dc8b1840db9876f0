/**
 * `npm run bench -- NAME [--json FILE]`: one module for each measurement.
 */
import { runCalls } from './calls.js'

const BENCHES: Record<string, (args: readonly string[]) => Promise<void>> = { calls: runCalls }

const [name = '', ...args] = process.argv.slice(2)
const bench = BENCHES[name]
if (bench === undefined) {
  process.stderr.write(`usage: npm run bench -- ${Object.keys(BENCHES).join('|')} [--json FILE]\n`)
  process.exit(2)
}
await bench(args)
process.exit()
