/**
 * The command line of the node program.
 */
import { defineCommand } from 'citty'
import type { ArgsDef, CommandDef } from 'citty'
import { loadCredentials } from '../peer/index.js'
import type { Dialer } from '../peer/index.js'
import { formatVariable, nodeSettingsSchema, readSettings } from './settings.js'
import { Node } from './start.js'

const BAD_SETTING_EXIT = 2

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
    process.exit(BAD_SETTING_EXIT)
  }
  const credentials = await loadCredentials({ ca: settings.val['tls-ca'], cert: settings.val['tls-cert'], key: settings.val['tls-key'] })
  if (credentials.err) {
    process.stderr.write(`comfreyspoke-node: ${credentials.val.message}\n`)
    process.exit(BAD_SETTING_EXIT)
  }
  const node = new Node(settings.val, credentials.val, dialer)
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => { node.stop().then(() => { process.exit(0) }, () => { process.exit(1) }) })
  }
  await node.start()
}
