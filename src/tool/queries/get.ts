/**
 * `comfreyspoke get`: prints the accepted document of a service.
 */
import { defineCommand } from 'citty'
import { stringify } from 'yaml'
import { makeFault } from '../../core/index.js'
import { readEdit } from '../../document/index.js'
import { COMMON_FLAGS, openPlatform } from '../flags.js'
import { printResult, reportFaults } from '../output.js'

export const getCommand = defineCommand({
  meta: { name: 'get', description: 'Print the accepted document of a service with its version.' },
  args: {
    service: { type: 'positional', required: true, description: 'name of the service' },
    ...COMMON_FLAGS
  },
  run: async ({ args }) => {
    const store = openPlatform(args.platform)
    const found = await readEdit(store, args.service)
    await store.close()
    if (found.err) reportFaults(args.json, [found.val])
    else if (found.val === undefined || found.val.edit.deleted) reportFaults(args.json, [makeFault('missing', `no service ${args.service}`)])
    else printResult(args.json, found.val, `# version ${found.val.version} by ${found.val.edit.author}\n${stringify(found.val.edit.document)}`)
  }
})
