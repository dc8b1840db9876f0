/**
 * The operator's tool: subcommands that change something and subcommands that only read.
 */
import { defineCommand } from 'citty'
import { applyCommand } from './commands/apply.js'
import { drainCommand } from './commands/drain.js'
import { getCommand } from './queries/get.js'
import { listCommand } from './queries/list.js'
import { statusCommand } from './queries/status.js'
import { timelineCommand } from './queries/timeline.js'

export const toolCommand = defineCommand({
  meta: { name: 'comfreyspoke', description: 'Edits the documents of services and shows what is in force.' },
  subCommands: {
    apply: applyCommand,
    drain: drainCommand,
    get: getCommand,
    list: listCommand,
    status: statusCommand,
    timeline: timelineCommand
  }
})
