/**
 * Prints the table of docs/operators/settings.md from the settings schema of the program.
 */
import { formatEnvironmentVariable } from '../../src/core/index.js'
import { nativeSettingsSchema } from '../../src/program/index.js'

for (const [name, schema] of Object.entries(nativeSettingsSchema.shape)) {
  const defaultValue: unknown = schema.safeParse(undefined).data
  const defaultColumn = schema.safeParse(undefined).success
    ? (defaultValue === undefined || String(defaultValue) === '' ? 'none' : String(defaultValue))
    : 'required'
  process.stdout.write(`| \`--${name}\` | \`${formatEnvironmentVariable(name)}\` | ${defaultColumn} | ${schema.description ?? ''} |\n`)
}
