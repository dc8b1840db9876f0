/**
 * Reads settings from flags, environment variables and a file of `name=value` lines, and validates
 * them with a schema. A flag overrides an environment variable, and a variable overrides the file.
 */
import { readFileSync } from 'node:fs'
import type * as z from 'zod'
import { describeError, makeFault } from './fault.js'
import type { Fault } from './fault.js'
import { Err, Ok } from './result.js'
import type { Result } from './result.js'

export interface SettingSources { flags: Record<string, unknown>, env: NodeJS.ProcessEnv }

const ENV_PREFIX = 'COMFREYSPOKE_'
/** The environment variable with the path of the settings file. */
const SETTINGS_FILE_VARIABLE = `${ENV_PREFIX}SETTINGS`

/** Returns the name of the environment variable of a setting: COMFREYSPOKE_DRAIN_TIMEOUT for `drain-timeout`. */
export function formatEnvironmentVariable (setting: string): string {
  return ENV_PREFIX + setting.toUpperCase().replaceAll('-', '_')
}

/** Ignores names in the file that are not in the schema. */
export function readSettings<T extends z.ZodObject> (schema: T, { flags, env }: SettingSources): Result<z.infer<T>, Fault> {
  const names = Object.keys(schema.shape)
  const file = env[SETTINGS_FILE_VARIABLE]
  const fileValues = file === undefined ? Ok({}) : readSettingsFile(file)
  return fileValues.andThen(values => checkSettings(schema, mergeSources(names, [values, readEnvironment(names, env), flags])))
}

function readSettingsFile (file: string): Result<Record<string, unknown>, Fault> {
  try {
    return Ok(parseSettingsFile(readFileSync(file, 'utf8')))
  } catch (error) {
    return Err(makeFault('unreadable_settings', `settings file ${file} cannot be read: ${describeError(error)}`))
  }
}

/** Ignores comments and lines without a name. */
function parseSettingsFile (text: string): Record<string, unknown> {
  const values: Record<string, unknown> = {}
  for (const line of text.split('\n')) {
    const separator = line.indexOf('=')
    if (separator > 0 && !line.startsWith('#')) values[line.slice(0, separator).trim()] = line.slice(separator + 1).trim()
  }
  return values
}

function readEnvironment (names: readonly string[], env: NodeJS.ProcessEnv): Record<string, unknown> {
  return Object.fromEntries(names.map(name => [name, env[formatEnvironmentVariable(name)]]))
}

/** Later sources override earlier ones. */
function mergeSources (names: readonly string[], sources: ReadonlyArray<Record<string, unknown>>): Record<string, unknown> {
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
