/**
 * `comfreyspoke get`: prints the accepted document of a service, an earlier version of it, or the outcome of an edit.
 */
import { defineCommand } from 'citty'
import { stringify } from 'yaml'
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { findEdit, readEdit, readPastEdits } from '../../document/index.js'
import type { PastEdit } from '../../document/index.js'
import type { ObjectStore } from '../../store/index.js'
import { COMMON_FLAGS, openStore, parseVersion } from '../flags.js'
import { printResult, reportFaults } from '../output.js'

export const getCommand = defineCommand({
  meta: { name: 'get', description: 'Print the accepted document of a service with its version, or what became of an edit.' },
  args: {
    service: { type: 'positional', required: false, description: 'name of the service; may be left out with --edit' },
    version: { type: 'string', description: 'a version of the last 10 edits (default: the one in force)' },
    edit: { type: 'string', description: 'id of an edit: says as which version it was accepted' },
    ...COMMON_FLAGS
  },
  run: async ({ args }) => {
    const version = parseVersion('version', args.version)
    if (version.err) return reportFaults(args.json, [version.val])
    if (args.edit === undefined && args.service === undefined) return reportFaults(args.json, [makeFault('usage', 'argument SERVICE is missing')])
    if (args.edit !== undefined && args.version !== undefined) return reportFaults(args.json, [makeFault('usage', '--edit and --version are mutually exclusive')])
    const store = openStore(args.platform)
    if (args.edit === undefined) await printDocument(store, args.json, args.service ?? '', version.val)
    else await printEdit(store, args.json, args.edit, args.service)
    await store.close()
  }
})

async function printDocument (store: ObjectStore, json: boolean, service: string, version: number | undefined): Promise<void> {
  const found = await findVersion(store, service, version)
  if (found.err) return reportFaults(json, [found.val])
  if (found.val.deleted) return reportFaults(json, [makeFault('missing', `${service} is deleted at version ${found.val.version}`, { version: found.val.version })])
  const { version: editVersion, ...edit } = found.val
  printResult(json, { service, version: editVersion, edit }, `# version ${editVersion} by ${edit.author}\n${stringify(edit.document)}`)
}

async function findVersion (store: ObjectStore, service: string, version: number | undefined): Promise<Result<PastEdit, Fault>> {
  const current = await readEdit(store, service)
  if (current.err && (version === undefined || current.val.code !== 'invalid_object')) return current
  const stored = current.ok ? current.val : undefined
  if (stored !== undefined && (version === undefined || version === stored.version)) return Ok({ ...stored.edit, version: stored.version })
  if (version === undefined) return Err(makeFault('missing', `there is no service ${service}`))
  const past = await readPastEdits(store, service)
  if (past.err) return past
  const found = past.val.find(edit => edit.version === version)
  return found === undefined ? Err(makeFault('missing', `version ${version} of ${service} is not among its last edits`)) : Ok(found)
}

async function printEdit (store: ObjectStore, json: boolean, editId: string, service: string | undefined): Promise<void> {
  const found = await findEdit(store, editId, service)
  if (found.err) return reportFaults(json, [found.val])
  if (found.val !== undefined) return printResult(json, found.val, `accepted ${found.val.service} as version ${found.val.version}`)
  reportFaults(json, [makeFault('missing', `no service has the edit ${editId} among its last 16 edits or in its history`, { editId })])
}
