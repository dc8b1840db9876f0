/**
 * The shortest update that takes a subscriber from the version it holds to a newer one:
 * a structural difference of the two documents, or the whole text where that is shorter.
 */
import { create } from 'jsondiffpatch'
import type { Delta } from 'jsondiffpatch'
import { Err, Ok, formatCanonical, hashText, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { documentSchema } from '../../document/index.js'
import type { Entry } from '../../snapshot/index.js'
import type { Update } from '../messages.js'

const differ = create({
  objectHash: (item: object) => formatCanonical(item),
  arrays: { detectMove: false },
  omitRemovedValues: true
})

export function makeUpdate (entry: Entry, base: Entry | undefined): Update {
  const update: Update = {
    type: 'update', service: entry.service, version: entry.version, acceptedAt: entry.acceptedAt, hash: entry.hash
  }
  if (entry.document === undefined) return update
  const text = formatCanonical(entry.document)
  if (base?.document === undefined) return { ...update, text }
  const patch = differ.diff(base.document, entry.document) ?? null
  if (formatCanonical(patch).length >= text.length) return { ...update, text }
  return { ...update, base: base.version, patch }
}

/** `unknown_base` or `bad_hash` mean that the full text has to be asked for. */
export function readUpdate (update: Update, held: Entry | undefined): Result<Entry, Fault> {
  const entry = { service: update.service, version: update.version, acceptedAt: update.acceptedAt, hash: update.hash }
  if (update.text === undefined && update.base === undefined) return Ok(entry)
  const value = update.text === undefined ? applyPatch(update, held) : parseText(update.text)
  if (value === undefined) return Err(makeFault('unknown_base', `version ${update.base} of ${update.service} is not held here`))
  if (hashText(formatCanonical(value)) !== update.hash) return Err(makeFault('bad_hash', `version ${update.version} of ${update.service} has another hash`))
  const document = documentSchema.safeParse(value)
  if (!document.success) return Err(makeFault('invalid_document', `version ${update.version} of ${update.service}: ${document.error.message}`))
  return Ok({ ...entry, document: document.data })
}

function parseText (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function applyPatch (update: Update, held: Entry | undefined): unknown {
  if (held?.document === undefined || held.version !== update.base) return undefined
  const copy: unknown = structuredClone(held.document)
  try {
    return update.patch === null ? copy : differ.patch(copy, update.patch as Delta)
  } catch {
    return undefined
  }
}
