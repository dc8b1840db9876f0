/**
 * Runs the platform stand-in as a process: `main.js PORT`. Prints its URL.
 */
import { PlatformServer } from './server.js'

const url = await new PlatformServer().listen(Number(process.argv[2] ?? 0))
process.stdout.write(`${url}\n`)
