/**
 * Settings of a node, from flags, environment variables and a file of `name=value` lines. Addresses
 * are `ip:port`, lengths of time are a number with `ms` or `s`.
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { describeError, durationSchema, Err, makeFault, Ok } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'

const addressSchema = z.string().regex(/^[0-9.]+:[0-9]+$/, 'must be ip:port')

export const meshSettingsSchema = z.object({
  host: z.string().min(1).describe('name of this host, unique in the fleet'),
  zone: z.string().min(1).describe('availability zone of this host'),
  region: z.string().min(1).describe('region of this host'),
  service: z.string().min(1).describe('service of the target on this host, in whose name its callers call'),
  target: addressSchema.describe('address of the target on this host'),
  store: addressSchema.describe('address of the object store'),
  caller: addressSchema.describe('address for callers of this host'),
  inbound: addressSchema.describe('address for requests from other nodes'),
  ready: addressSchema.describe('address that tells whether this node is ready'),
  control: addressSchema.describe('address for heartbeats of the target on this host'),
  peer: addressSchema.describe('address for control traffic from other nodes'),
  admin: addressSchema.describe('address for metrics'),
  heartbeat: durationSchema.describe('time between two heartbeats of a target'),
  grace: durationSchema.describe('time from a termination signal to the end of the process'),
  'retry-ratio': z.coerce.number().min(0).max(1).describe('retries that a service may get, as a share of its requests'),
  'retry-extra': z.coerce.number().min(0).describe('retries that a service may get besides, in all'),
  'retry-window': durationSchema.describe('time over which retries are counted')
})
export type MeshSettings = z.infer<typeof meshSettingsSchema>

export const ENV_PREFIX = 'COMFREYSPOKE_'
/** Names the settings file. */
export const FILE_VARIABLE = `${ENV_PREFIX}SETTINGS`

export function formatVariable (setting: string): string {
  return ENV_PREFIX + setting.toUpperCase().replaceAll('-', '_')
}

/** Reads `name=value` lines; lines without a name and names that are not known are passed over. */
export function parseSettingsText (text: string): Record<string, string> {
  const values: Record<string, string> = {}
  for (const line of text.split('\n')) {
    const at = line.indexOf('=')
    if (at > 0 && !line.startsWith('#')) values[line.slice(0, at).trim()] = line.slice(at + 1).trim()
  }
  return values
}

/** A flag goes before a variable, and a variable before the file. */
export function readMeshSettings (flags: Record<string, unknown>, env: NodeJS.ProcessEnv): Result<MeshSettings, Fault> {
  const file = env[FILE_VARIABLE]
  const text = file === undefined ? Ok('') : readText(file)
  return text.andThen(lines => checkSettings({ ...parseSettingsText(lines), ...readVariables(env), ...flags }))
}

function readText (file: string): Result<string, Fault> {
  try {
    return Ok(readFileSync(file, 'utf8'))
  } catch (error) {
    return Err(makeFault('unreadable_settings', `settings file ${file} cannot be read: ${describeError(error)}`))
  }
}

function readVariables (env: NodeJS.ProcessEnv): Record<string, string> {
  const names = Object.keys(meshSettingsSchema.shape)
  return Object.fromEntries(names.flatMap(name => {
    const value = env[formatVariable(name)]
    return value === undefined ? [] : [[name, value]]
  }))
}

function checkSettings (raw: Record<string, unknown>): Result<MeshSettings, Fault> {
  const parsed = meshSettingsSchema.safeParse(raw)
  if (parsed.success) return Ok(parsed.data)
  const issue = parsed.error.issues[0]
  const name = String(issue?.path[0] ?? '')
  const problem = raw[name] === undefined || raw[name] === '' ? 'is missing' : `is wrong: ${issue?.message ?? ''}`
  return Err(makeFault('bad_setting', `setting ${name} (${formatVariable(name)}) ${problem}`, { path: [name] }))
}
