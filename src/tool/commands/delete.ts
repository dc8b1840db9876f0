/**
 * `comfreyspoke delete`: deletes a service that no other service refers to.
 */
import { defineCommand } from 'citty'
import { SystemClock } from '../../core/index.js'
import { removeDocument } from '../../document/index.js'
import { EDIT_FLAGS, findAuthor, openStore, parseExpected } from '../flags.js'
import { printResult, reportFaults } from '../output.js'

export const deleteCommand = defineCommand({
  meta: { name: 'delete', description: 'Delete a service that no other service refers to.' },
  args: {
    service: { type: 'positional', required: true, description: 'name of the service' },
    ...EDIT_FLAGS
  },
  run: async ({ args }) => {
    const expected = parseExpected(args.expected)
    if (expected.err) return reportFaults(args.json, [expected.val])
    const store = openStore(args.platform)
    const removed = await removeDocument(store, new SystemClock(), {
      service: args.service,
      author: findAuthor(args.author),
      ...(expected.val === undefined ? {} : { expected: expected.val })
    })
    await store.close()
    if (removed.err) reportFaults(args.json, [removed.val])
    else printResult(args.json, { ...removed.val, deleted: true }, `deleted ${removed.val.service} at version ${removed.val.version}`)
  }
})
