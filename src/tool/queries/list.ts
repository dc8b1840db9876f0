/**
 * `comfreyspoke list`: prints the services and their accepted versions.
 */
import { defineCommand } from 'citty'
import { listEdits } from '../../document/index.js'
import type { StoredEdit } from '../../document/index.js'
import { COMMON_FLAGS, openStore } from '../flags.js'
import { printResult, reportFaults } from '../output.js'

function makeRow ({ service, version, edit }: StoredEdit) {
  return { service, version, author: edit.author, acceptedAt: edit.acceptedAt, deleted: edit.deleted }
}

function formatRow ({ service, version, author, acceptedAt, deleted }: ReturnType<typeof makeRow>): string {
  const state = deleted ? 'deleted' : `by ${author}`
  return `${service}\tversion ${version}\t${state}\t${new Date(acceptedAt).toISOString()}`
}

export const listCommand = defineCommand({
  meta: { name: 'list', description: 'List services with their accepted versions.' },
  args: { ...COMMON_FLAGS },
  run: async ({ args }) => {
    const store = openStore(args.platform)
    const found = await listEdits(store)
    await store.close()
    if (found.err) {
      reportFaults(args.json, [found.val])
      return
    }
    const rows = found.val.edits.map(makeRow)
    const { invalid } = found.val
    const text = [...rows.map(formatRow), ...invalid.map(object => `${object.service}\tversion ${object.version}\tinvalid: ${object.reason}`)]
    printResult(args.json, [...rows, ...invalid.map(object => ({ ...object, invalid: true }))], text.join('\n'))
  }
})
