/**
 * Prints the table of docs/operators/settings.md from the program's own settings.
 */
import { formatVariable } from '../../src/core/index.js'
import { ownSettingsSchema } from '../../src/program/index.js'

for (const [name, schema] of Object.entries(ownSettingsSchema.shape)) {
  const fallback: unknown = schema.safeParse(undefined).data
  const required = schema.safeParse(undefined).success ? (fallback === undefined || String(fallback) === '' ? 'none' : String(fallback)) : 'required'
  process.stdout.write(`| \`--${name}\` | \`${formatVariable(name)}\` | ${required} | ${schema.description ?? ''} |\n`)
}
