/**
 * `comfreyspoke apply`: validates documents and writes them to the platform, each after the documents that it refers to.
 */
import { defineCommand } from 'citty'
import { Err, Ok, SystemClock, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { applyDocument, listReferences, makeConflictFault, orderDocuments, readPresence } from '../../document/index.js'
import type { Document } from '../../document/index.js'
import type { HttpObjectStore } from '../../store/index.js'
import { EDIT_FLAGS, findAuthor, openStore, parseExpected } from '../flags.js'
import { loadFiles } from '../load.js'
import { printResult, reportFaults } from '../output.js'

interface ApplyPlan { documents: Document[], versions: ReadonlyMap<string, number> }

export const applyCommand = defineCommand({
  meta: { name: 'apply', description: 'Check documents and accept each as the new version of its service.' },
  args: {
    file: { type: 'positional', required: true, valueHint: 'FILE...', description: 'YAML or JSON files, - for standard input' },
    'dry-run': { type: 'boolean', default: false, description: 'check only, also against the platform; change nothing' },
    ...EDIT_FLAGS
  },
  run: async ({ args }) => {
    const loaded = await loadFiles(args._)
    if (loaded.err) return reportFaults(args.json, loaded.val)
    const expected = parseExpected(args.expected, loaded.val.length)
    if (expected.err) return reportFaults(args.json, [expected.val])
    const store = openStore(args.platform)
    const plan = await verifyEdits(store, loaded.val, expected.val)
    if (plan.err) reportFaults(args.json, plan.val)
    else if (args['dry-run']) printPlan(args.json, plan.val)
    else await applyPlan(store, plan.val, { json: args.json, author: findAuthor(args.author), expected: expected.val })
    await store.close()
  }
})

/** Runs every possible check before the first write, so that as far as possible either all documents are accepted or none is. */
async function verifyEdits (store: HttpObjectStore, documents: Document[], expected: number | undefined): Promise<Result<ApplyPlan, Fault[]>> {
  const services = new Set(documents.flatMap(document => [document.service, ...listReferences(document)]))
  const presence = await readPresence(store, services)
  if (presence.err) return Err([presence.val])
  const { versions, present } = presence.val
  const ordered = orderDocuments(documents, present)
  if (ordered.err) return ordered
  const current = versions.get(documents[0]?.service ?? '') ?? 0
  if (expected !== undefined && expected !== current) {
    return Err([makeConflictFault({ service: documents[0]?.service ?? '', version: expected }, current)])
  }
  return Ok({ documents: ordered.val, versions })
}

function printPlan (json: boolean, { documents, versions }: ApplyPlan): void {
  for (const { service } of documents) {
    const replaces = versions.get(service) ?? 0
    printResult(json, { service, replaces, dryRun: true }, `would replace version ${replaces} of ${service}`)
  }
}

interface ApplyOptions { json: boolean, author: string, expected: number | undefined }

/** Stops at the first document that is not accepted, since later documents may refer to it. */
async function applyPlan (store: HttpObjectStore, { documents }: ApplyPlan, { json, author, expected }: ApplyOptions): Promise<void> {
  const clock = new SystemClock()
  for (const [index, document] of documents.entries()) {
    const accepted = await applyDocument(store, clock, { document, author, ...(expected === undefined ? {} : { expected }) })
    if (accepted.err) {
      const remaining = documents.slice(index + 1).map(({ service }) => service)
      reportFaults(json, [
        accepted.val,
        ...remaining.map(service => makeFault('not_tried', `${service} was not applied, because an earlier document was not accepted`))
      ])
      return
    }
    printResult(json, accepted.val, `accepted ${accepted.val.service} as version ${accepted.val.version}`)
  }
}
