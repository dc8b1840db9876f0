/**
 * Reads settings from flags, environment variables and a file of `name=value` lines, and checks them
 * by a schema. A flag goes before a variable, and a variable before the file.
 */
import { readFileSync } from 'node:fs'
import type { z } from 'zod'
import { describeError, makeFault } from './fault.js'
import type { Fault } from './fault.js'
import { Err, Ok } from './result.js'
import type { Result } from './result.js'

export interface SettingSources { flags: Record<string, unknown>, env: NodeJS.ProcessEnv }

const ENV_PREFIX = 'COMFREYSPOKE_'
/** Names the settings file. */
const FILE_VARIABLE = `${ENV_PREFIX}SETTINGS`

/** `drain-timeout` is read from COMFREYSPOKE_DRAIN_TIMEOUT. */
export function formatEnvironmentVariable (setting: string): string {
  return ENV_PREFIX + setting.toUpperCase().replaceAll('-', '_')
}

/** Names in the file that the schema does not know are passed over. */
export function readSettings<T extends z.ZodObject> (schema: T, { flags, env }: SettingSources): Result<z.infer<T>, Fault> {
  const names = Object.keys(schema.shape)
  const file = env[FILE_VARIABLE]
  const lines = file === undefined ? Ok({}) : readLines(file)
  return lines.andThen(values => checkSettings(schema, selectNames(names, [values, readVariables(names, env), flags])))
}

function readLines (file: string): Result<Record<string, unknown>, Fault> {
  try {
    return Ok(parseLines(readFileSync(file, 'utf8')))
  } catch (error) {
    return Err(makeFault('unreadable_settings', `settings file ${file} cannot be read: ${describeError(error)}`))
  }
}

/** Lines without a name are passed over. */
function parseLines (text: string): Record<string, unknown> {
  const values: Record<string, unknown> = {}
  for (const line of text.split('\n')) {
    const at = line.indexOf('=')
    if (at > 0 && !line.startsWith('#')) values[line.slice(0, at).trim()] = line.slice(at + 1).trim()
  }
  return values
}

function readVariables (names: readonly string[], env: NodeJS.ProcessEnv): Record<string, unknown> {
  return Object.fromEntries(names.map(name => [name, env[formatEnvironmentVariable(name)]]))
}

/** The last source that has a name decides. */
function selectNames (names: readonly string[], sources: ReadonlyArray<Record<string, unknown>>): Record<string, unknown> {
  const selected: Record<string, unknown> = {}
  for (const source of sources) {
    for (const name of names) if (source[name] !== undefined) selected[name] = source[name]
  }
  return selected
}

function checkSettings<T extends z.ZodObject> (schema: T, raw: Record<string, unknown>): Result<z.infer<T>, Fault> {
  const parsed = schema.safeParse(raw)
  if (parsed.success) return Ok(parsed.data as z.infer<T>)
  const issue = parsed.error.issues[0]
  const name = String(issue?.path[0] ?? '')
  const problem = raw[name] === undefined || raw[name] === '' ? 'is missing' : `is wrong: ${issue?.message ?? ''}`
  return Err(makeFault('bad_setting', `setting --${name} (${formatEnvironmentVariable(name)}) ${problem}`, { path: [name] }))
}
