/**
 * Settings of a node, from flags and environment variables, checked at start.
 * Addresses are `ip:port`; times are milliseconds.
 */
import { z } from 'zod'
import { Err, logLevelSchema, makeFault, Ok } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'

const addressSchema = z.string().regex(/^[0-9.]+:[0-9]+$/, 'must be ip:port')
const listSchema = z.string().transform(text => text.split(',').filter(one => one !== '')).pipe(z.array(addressSchema))

export const nodeSettingsSchema = z.strictObject({
  host: z.string().min(1).describe('name of this host, unique in the fleet'),
  zone: z.string().min(1).describe('availability zone of this host'),
  region: z.string().min(1).describe('region of this host'),
  'platform-region': z.string().min(1).describe('region that holds the platform'),
  platform: z.url().describe('URL of the platform\'s object API'),
  caller: addressSchema.describe('address for callers'),
  inbound: addressSchema.describe('address for requests from other nodes'),
  peer: addressSchema.describe('address for control traffic from other nodes and operators'),
  local: addressSchema.default('127.0.0.1:7403').describe('address for announcements of this host\'s targets'),
  admin: addressSchema.default('127.0.0.1:7404').describe('address for health and metrics'),
  peers: listSchema.default([]).describe('peer addresses of a few nodes of this zone, comma-separated'),
  'fan-out': z.coerce.number().int().min(1).max(1000).default(12).describe('subscribers that this node serves at most'),
  'admit-per-second': z.coerce.number().int().min(1).max(10_000).default(20).describe('new subscribers per second'),
  'drain-timeout': z.coerce.number().int().min(0).max(600_000).default(30_000).describe('longest wait for requests in flight at shutdown, ms'),
  'operator-token': z.string().optional().describe('secret that operators\' commands must carry'),
  'peer-token': z.string().optional().describe('secret that nodes show each other on the inbound port'),
  'tls-ca': z.string().optional().describe('PEM file of the authority of all nodes\' and operators\' certificates'),
  'tls-cert': z.string().optional().describe('PEM file of this node\'s certificate'),
  'tls-key': z.string().optional().describe('PEM file of this node\'s private key'),
  'log-level': logLevelSchema.default('info').describe('silent, error, warn, info or debug')
})
export type NodeSettings = z.infer<typeof nodeSettingsSchema>

export const ENV_PREFIX = 'COMFREYSPOKE_'

/** `drain-timeout` is read from COMFREYSPOKE_DRAIN_TIMEOUT; a flag goes before the variable. */
export function formatVariable (setting: string): string {
  return ENV_PREFIX + setting.toUpperCase().replaceAll('-', '_')
}

export function readSettings (flags: Record<string, unknown>, env: NodeJS.ProcessEnv): Result<NodeSettings, Fault> {
  const raw: Record<string, unknown> = {}
  for (const name of Object.keys(nodeSettingsSchema.shape)) {
    const value = flags[name] ?? env[formatVariable(name)]
    if (value !== undefined) raw[name] = value
  }
  const parsed = nodeSettingsSchema.safeParse(raw)
  if (parsed.success) return Ok(parsed.data)
  const issue = parsed.error.issues[0]
  const name = String(issue?.path[0] ?? '')
  const problem = raw[name] === undefined ? 'is missing' : `is wrong: ${issue?.message ?? ''}`
  return Err(makeFault('bad_setting', `setting --${name} (${formatVariable(name)}) ${problem}`, { path: [name] }))
}
