/**
 * The node program with the native interface: documents come from the store, and targets announce themselves
 * on the local port.
 */
import { defineCommand } from 'citty'
import type { ArgsDef, CommandDef } from 'citty'
import * as z from 'zod'
import { DocumentSource } from '../configuration/index.js'
import { addressSchema, formatEnvironmentVariable, readSettings, SystemClock } from '../core/index.js'
import { HEARTBEAT_TIMEOUT_MS } from '../membership/index.js'
import { handleUnexpectedErrors, Node, nodeSettingsSchema, startServer } from '../node/index.js'
import type { RequestPolicies } from '../node/index.js'
import { loadCredentials } from '../peer/index.js'
import type { Dialer, PeerCredentials } from '../peer/index.js'
import { BudgetRetryPolicy, DeadlineAdmissionPolicy, NativeProtocolAdapter, ZoneAwarePicker } from '../request/index.js'
import { HttpObjectStore } from '../store/index.js'
import { serveAnnouncements } from './local.js'

export const nativeSettingsSchema = nodeSettingsSchema.extend({
  platform: z.url().describe('URL of the platform\'s object API'),
  local: addressSchema.default('127.0.0.1:7403').describe('address for announcements of this host\'s targets'),
  'drain-timeout': z.coerce.number().int().min(0).max(600_000).default(30_000).describe('longest wait for requests in flight at shutdown, ms'),
  'operator-token': z.string().optional().describe('secret that operators\' commands must carry'),
  'peer-token': z.string().optional().describe('secret that nodes show each other on the inbound port'),
  'tls-ca': z.string().optional().describe('PEM file of the authority of all nodes\' and operators\' certificates'),
  'tls-cert': z.string().optional().describe('PEM file of this node\'s certificate'),
  'tls-key': z.string().optional().describe('PEM file of this node\'s private key')
})
export type NativeSettings = z.infer<typeof nativeSettingsSchema>

/** Exit codes of the node program. It exits with 0 when every request in flight completed, and with `cut` when the drain timeout aborted some. */
const EXIT = { failed: 1, badSetting: 2, cut: 3 } as const
/** Less than the 5 s after which Node.js servers close an idle connection by default. */
const TARGET_IDLE_TIMEOUT_MS = 4_000

function defineFlags (): ArgsDef {
  const flags: ArgsDef = {}
  for (const [name, schema] of Object.entries(nativeSettingsSchema.shape)) {
    const fallback: unknown = schema.safeParse(undefined).data
    const shown = fallback === undefined ? '' : ` (default: ${String(fallback)})`
    flags[name] = { type: 'string', description: `${schema.description ?? ''}${shown} [${formatEnvironmentVariable(name)}]` }
  }
  return flags
}

/** A test bench passes `makeDialer` to put slow links between nodes. */
export function defineNodeCommand (makeDialer?: () => Promise<Dialer>): CommandDef {
  return defineCommand({
    meta: { name: 'comfreyspoke-node', description: 'The node of one target host: follows the documents and carries calls.' },
    args: defineFlags(),
    run: async ({ args }) => { await runNode(args, await makeDialer?.()) }
  })
}

async function runNode (flags: Record<string, unknown>, dialer: Dialer | undefined): Promise<void> {
  const settings = readSettings(nativeSettingsSchema, { flags, env: process.env })
  if (settings.err) {
    process.stderr.write(`comfreyspoke-node: ${settings.val.message}\n`)
    process.exit(EXIT.badSetting)
  }
  const credentials = await loadCredentials({ ca: settings.val['tls-ca'], cert: settings.val['tls-cert'], key: settings.val['tls-key'] })
  if (credentials.err) {
    process.stderr.write(`comfreyspoke-node: ${credentials.val.message}\n`)
    process.exit(EXIT.badSetting)
  }
  const node = await startNativeNode(settings.val, credentials.val, dialer)
  handleUnexpectedErrors((origin, error) => { node.telemetry.recordUnexpectedError(origin, error) })
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    // The listener stays installed, because a second signal without a listener would end the process during the drain.
    process.on(signal, () => { node.stop().then(result => { process.exit(result === 'cut' ? EXIT.cut : 0) }, () => { process.exit(EXIT.failed) }) })
  }
}

export async function startNativeNode (settings: NativeSettings, credentials: PeerCredentials, dialer?: Dialer): Promise<Node> {
  const store = new HttpObjectStore(settings.platform)
  const { zone, region } = settings
  const node = new Node({
    settings,
    timeouts: { heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS, drainMs: settings['drain-timeout'] },
    store,
    source: new DocumentSource(store, new SystemClock()),
    adapter: new NativeProtocolAdapter(),
    makePolicies: (clock, random): RequestPolicies => ({
      picker: new ZoneAwarePicker({ zone, region }, clock, random),
      retry: new BudgetRetryPolicy(clock, random),
      admission: new DeadlineAdmissionPolicy(),
      responseBufferBytes: 0,
      targetIdleMs: TARGET_IDLE_TIMEOUT_MS
    }),
    access: { credentials, peerToken: settings['peer-token'], operatorToken: settings['operator-token'], ...dialer === undefined ? {} : { dialer } }
  })
  await node.start()
  const registration = { registerTarget: node.registerTarget.bind(node), isLeaving: () => node.isLeaving }
  await startServer(settings.local, async (message, response) => { await serveAnnouncements(registration, message, response) })
  return node
}
