/**
 * Prints the table of docs/operators/settings.md from the program's own settings.
 */
import { formatEnvironmentVariable } from '../../src/core/index.js'
import { nativeSettingsSchema } from '../../src/program/index.js'

for (const [name, schema] of Object.entries(nativeSettingsSchema.shape)) {
  const fallback: unknown = schema.safeParse(undefined).data
  const required = schema.safeParse(undefined).success ? (fallback === undefined || String(fallback) === '' ? 'none' : String(fallback)) : 'required'
  process.stdout.write(`| \`--${name}\` | \`${formatEnvironmentVariable(name)}\` | ${required} | ${schema.description ?? ''} |\n`)
}
