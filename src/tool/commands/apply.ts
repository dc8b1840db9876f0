/**
 * `comfreyspoke apply`: checks a document and puts it on the platform.
 */
import { userInfo } from 'node:os'
import { defineCommand } from 'citty'
import { SystemClock } from '../../core/index.js'
import { applyDocument } from '../../document/index.js'
import { COMMON_FLAGS, openPlatform } from '../flags.js'
import { loadDocument } from '../load.js'
import { printResult, reportFaults } from '../output.js'

export const applyCommand = defineCommand({
  meta: { name: 'apply', description: 'Check a document and accept it as the new version of its service.' },
  args: {
    file: { type: 'positional', required: true, description: 'YAML or JSON file, - for standard input' },
    expected: { type: 'string', description: 'version to replace, 0 for a new service (default: the one that is there)' },
    author: { type: 'string', description: 'name kept with the edit (default: your login name)' },
    ...COMMON_FLAGS
  },
  run: async ({ args }) => {
    const document = await loadDocument(args.file)
    if (document.err) {
      reportFaults(args.json, document.val)
      return
    }
    const store = openPlatform(args.platform)
    const accepted = await applyDocument(store, new SystemClock(), {
      document: document.val,
      author: args.author ?? userInfo().username,
      ...(args.expected === undefined ? {} : { expected: Number(args.expected) })
    })
    await store.close()
    if (accepted.err) reportFaults(args.json, [accepted.val])
    else printResult(args.json, accepted.val, `accepted ${accepted.val.service} as version ${accepted.val.version}`)
  }
})
