/**
 * The command line of the node program.
 */
import { defineCommand } from 'citty'
import type { ArgsDef, CommandDef } from 'citty'
import { loadCredentials } from '../peer/index.js'
import type { Dialer } from '../peer/index.js'
import { formatVariable, nodeSettingsSchema, readSettings } from './settings.js'
import { Node } from './start.js'

/** Exit codes of the node program; 0 means that every request in flight ended. */
const EXIT = { failed: 1, badSetting: 2, cut: 3 } as const

function defineFlags (): ArgsDef {
  const flags: ArgsDef = {}
  for (const [name, schema] of Object.entries(nodeSettingsSchema.shape)) {
    const fallback: unknown = schema.safeParse(undefined).data
    const shown = fallback === undefined ? '' : ` (default: ${Array.isArray(fallback) ? 'none' : String(fallback)})`
    flags[name] = { type: 'string', description: `${schema.description ?? ''}${shown} [${formatVariable(name)}]` }
  }
  return flags
}

/** `makeDialer` lets a test bench put slow links between nodes. */
export function defineNodeCommand (makeDialer?: () => Promise<Dialer>): CommandDef {
  return defineCommand({
    meta: { name: 'comfreyspoke-node', description: 'The node of one target host: distributes documents and carries calls.' },
    args: defineFlags(),
    run: async ({ args }) => { await runNode(args, await makeDialer?.()) }
  })
}

async function runNode (flags: Record<string, unknown>, dialer: Dialer | undefined): Promise<void> {
  const settings = readSettings(flags, process.env)
  if (settings.err) {
    process.stderr.write(`comfreyspoke-node: ${settings.val.message}\n`)
    process.exit(EXIT.badSetting)
  }
  const credentials = await loadCredentials({ ca: settings.val['tls-ca'], cert: settings.val['tls-cert'], key: settings.val['tls-key'] })
  if (credentials.err) {
    process.stderr.write(`comfreyspoke-node: ${credentials.val.message}\n`)
    process.exit(EXIT.badSetting)
  }
  const node = new Node(settings.val, credentials.val, dialer)
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    // Stays installed: without a listener a second signal would end the process in the middle of its drain.
    process.on(signal, () => { node.stop().then(result => { process.exit(result === 'cut' ? EXIT.cut : 0) }, () => { process.exit(EXIT.failed) }) })
  }
  await node.start()
}
