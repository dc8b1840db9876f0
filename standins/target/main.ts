/**
 * Runs one target as a process: `main.js '{"service":…,"target":…,"address":…,"node":…,"serviceMs":…}'`.
 */
import { TargetServer } from './server.js'
import type { TargetOptions } from './server.js'

await new TargetServer(JSON.parse(process.argv[2] ?? '{}') as TargetOptions).start()
process.stdout.write('ready\n')
