/**
 * Benchmarks: `npm run bench -- NAME [--json FILE]`.
 */
import { writeFile } from 'node:fs/promises'
import { measureOnce } from './once.js'

const BENCHES: Record<string, () => Promise<unknown>> = { once: measureOnce }

const name = process.argv[2] ?? ''
const bench = BENCHES[name]
if (bench === undefined) {
  process.stderr.write(`bench: no benchmark ${name}; there are ${Object.keys(BENCHES).join(', ')}\n`)
  process.exit(2)
}
const result = await bench()
const at = process.argv.indexOf('--json')
const file = process.argv[at + 1]
if (at > 0 && file !== undefined) await writeFile(file, `${JSON.stringify(result, null, 2)}\n`)
process.exit(0)
