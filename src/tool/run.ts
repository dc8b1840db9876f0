/**
 * Runs a command line with strict parsing. An unknown subcommand or flag, a flag without its value, and a
 * missing or unexpected argument end the tool with the exit code for wrong usage before the command runs.
 */
import { parseArgs } from 'node:util'
import type { ParseArgsConfig } from 'node:util'
import { runCommand, showUsage } from 'citty'
import type { ArgsDef, CommandDef } from 'citty'
import { describeError, makeFault } from '../core/index.js'
import { EXIT } from './exit.js'
import { reportFaults } from './output.js'

/** `any`, because each command has its own type of flags. */
type AnyCommand = CommandDef<any>

const HELP_FLAGS = new Set(['--help', '-h'])

export async function runStrict (root: AnyCommand, rawArgs: string[] = process.argv.slice(2)): Promise<void> {
  const name = rawArgs[0]
  const subCommands = root.subCommands as Record<string, AnyCommand> | undefined
  const command = subCommands === undefined ? root : subCommands[name ?? '']
  if (rawArgs.some(arg => HELP_FLAGS.has(arg))) {
    await showUsage(command ?? root, command === root ? undefined : root)
    return
  }
  if (command === undefined) return reportUsage(rawArgs, describeSubcommands(name, Object.keys(subCommands ?? {})))
  const commandArgs = command === root ? rawArgs : rawArgs.slice(1)
  const problem = findUsageError(command.args as ArgsDef ?? {}, commandArgs)
  if (problem !== undefined) return reportUsage(rawArgs, problem)
  try {
    await runCommand(command, { rawArgs: commandArgs })
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
    process.exitCode = EXIT.internal
  }
}

function describeSubcommands (name: string | undefined, known: readonly string[]): string {
  const problem = name === undefined ? 'a subcommand is missing' : `there is no subcommand ${name}`
  return `${problem}; the subcommands are ${known.join(', ')}`
}

function reportUsage (rawArgs: readonly string[], problem: string): void {
  reportFaults(rawArgs.includes('--json'), [makeFault('usage', problem)])
}

/** Returns the first error in the arguments, or undefined when they are valid. */
export function findUsageError (definitions: ArgsDef, args: string[]): string | undefined {
  const positionals = Object.entries(definitions).filter(([, definition]) => definition.type === 'positional')
  try {
    const parsed = parseArgs({ args, options: makeOptions(definitions), allowPositionals: true, strict: true })
    const empty = Object.entries(parsed.values).find(([, value]) => value === '')
    if (empty !== undefined) return `--${empty[0]} has no value`
    const missing = positionals[parsed.positionals.length]
    if (missing !== undefined && missing[1].required !== false) return `argument ${missing[0].toUpperCase()} is missing`
    const acceptsMany = positionals.some(([, definition]) => definition.valueHint?.endsWith('...') === true)
    const extra = parsed.positionals[positionals.length]
    return extra === undefined || acceptsMany ? undefined : `argument ${extra} is superfluous`
  } catch (error) {
    return describeError(error)
  }
}

function makeOptions (definitions: ArgsDef): NonNullable<ParseArgsConfig['options']> {
  const flags = Object.entries(definitions).filter(([, definition]) => definition.type !== 'positional')
  return Object.fromEntries(flags.map(([name, definition]) => [
    name, { type: definition.type === 'boolean' ? 'boolean' as const : 'string' as const }
  ]))
}
