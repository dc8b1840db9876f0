/**
 * The operator's tool. Subcommands in commands/ change state; subcommands in queries/ only read.
 */
import { defineCommand } from 'citty'
import { applyCommand } from './commands/apply.js'
import { deleteCommand } from './commands/delete.js'
import { drainCommand } from './commands/drain.js'
import { explainCommand } from './queries/explain.js'
import { getCommand } from './queries/get.js'
import { historyCommand } from './queries/history.js'
import { listCommand } from './queries/list.js'
import { statusCommand } from './queries/status.js'
import { timelineCommand } from './queries/timeline.js'

export const toolCommand = defineCommand({
  meta: { name: 'comfreyspoke', description: 'Edits the documents of services and shows what is in force.' },
  subCommands: {
    apply: applyCommand,
    delete: deleteCommand,
    drain: drainCommand,
    explain: explainCommand,
    get: getCommand,
    history: historyCommand,
    list: listCommand,
    status: statusCommand,
    timeline: timelineCommand
  }
})
