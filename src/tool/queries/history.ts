/**
 * `comfreyspoke history`: prints the last edits of a service.
 */
import { defineCommand } from 'citty'
import { makeFault } from '../../core/index.js'
import { readEdit, readPastEdits } from '../../document/index.js'
import type { PastEdit } from '../../document/index.js'
import { COMMON_FLAGS, openStore } from '../flags.js'
import { printResult, reportFaults } from '../output.js'

/** Adds the current edit, which the history may lack, because it is written on a best-effort basis. */
export function mergeHistory (past: readonly PastEdit[], current: PastEdit | undefined): PastEdit[] {
  if (current === undefined) return [...past]
  return [current, ...past.filter(edit => edit.editId !== current.editId)]
}

function formatEdit ({ version, editId, author, acceptedAt, deleted }: PastEdit): string {
  return `version ${version}\t${deleted ? 'deleted' : 'edited'} by ${author}\t${new Date(acceptedAt).toISOString()}\tedit ${editId}`
}

export const historyCommand = defineCommand({
  meta: { name: 'history', description: 'List the last 10 edits of a service, newest first.' },
  args: {
    service: { type: 'positional', required: true, description: 'name of the service' },
    ...COMMON_FLAGS
  },
  run: async ({ args }) => {
    const store = openStore(args.platform)
    const [past, current] = await Promise.all([readPastEdits(store, args.service), readEdit(store, args.service)])
    await store.close()
    if (past.err) return reportFaults(args.json, [past.val])
    if (current.err && current.val.code !== 'invalid_object') return reportFaults(args.json, [current.val])
    const newest = current.ok && current.val !== undefined ? { ...current.val.edit, version: current.val.version } : undefined
    const edits = mergeHistory(past.val, newest)
    if (edits.length === 0) reportFaults(args.json, [makeFault('missing', `there is no service ${args.service}`)])
    else printResult(args.json, edits, edits.map(formatEdit).join('\n'))
  }
})
