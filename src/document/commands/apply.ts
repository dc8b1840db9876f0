/**
 * Applies a document as the new version of its service: records its references, writes it, then
 * releases the references that it no longer has and adds it to the history.
 */
import { v7 as makeUuid } from 'uuid'
import { Err } from '../../core/index.js'
import type { Clock, Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { makeEditContext, waitBeforeRetry } from '../context.js'
import type { EditContext, EditRequest } from '../context.js'
import { findReferences, readState } from '../queries/read.js'
import type { ServiceState } from '../queries/read.js'
import { listReferences } from '../queries/references.js'
import type { Document } from '../schema.js'
import type { PastEdit } from '../stored.js'
import { acceptEdit, readBase } from './accept.js'
import type { AcceptedEdit, EditContent } from './accept.js'
import { updateHistory } from './keep.js'
import { makeContentionFault, recordReference, releaseReference } from './refer.js'

/** An edit that conflicts only with fences is retried on the version of the fence, which has the same content. */
const MAX_ATTEMPTS = 8

export interface ApplyRequest extends EditRequest { document: Document }

export async function applyDocument (store: ObjectStore, clock: Clock, request: ApplyRequest): Promise<Result<AcceptedEdit, Fault>> {
  const context = makeEditContext(store, clock, request)
  const { document, author, expected } = request
  const base = await readBase(context, document.service, expected)
  if (base.err) return base
  const content = { editId: makeUuid(), author, document, deleted: false }
  return await applyOnBase(context, base.val, document, content)
}

async function applyOnBase (
  context: EditContext, first: ServiceState, document: Document, content: EditContent
): Promise<Result<AcceptedEdit, Fault>> {
  let base = first
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const fault = await recordReferences(context, base, document)
    if (fault !== undefined) return Err(fault)
    const accepted = await acceptEdit(context, base, content)
    if (accepted.ok) {
      await finishEdit(context, base, content, accepted.val)
      return accepted
    }
    if (accepted.val.code !== 'conflict') return accepted
    const current = await readState(context, base.service)
    if (current.err || !isOnlyFenced(base, current.val)) return accepted
    base = current.val
    await waitBeforeRetry(context, attempt)
  }
  return Err(makeContentionFault(document.service))
}

async function recordReferences (context: EditContext, referrer: ServiceState, document: Document): Promise<Fault | undefined> {
  for (const service of listReferences(document)) {
    const recorded = await recordReference(context, { service, referrer })
    if (recorded.err) return recorded.val
  }
  return undefined
}

/** Returns true when the object was only fenced since `base`. A tombstone as the first write of an object is a fence, too. */
export function isOnlyFenced (base: ServiceState, current: ServiceState): boolean {
  if (current.version <= base.version || current.edit === undefined) return false
  if (base.version === 0) return current.edit.deleted && current.edit.earlierEdits.length === 0
  return current.edit.editId === base.edit?.editId
}

/** Updates the history and releases references after an accepted edit. Best effort: the edit remains accepted when this fails. */
export async function finishEdit (context: EditContext, base: ServiceState, content: EditContent, accepted: AcceptedEdit): Promise<void> {
  const { editId, author, document, deleted } = content
  const edit: PastEdit = { editId, author, document, deleted, version: accepted.version, acceptedAt: accepted.acceptedAt }
  await updateHistory(context, base.service, [...listBaseEdit(base), edit])
  const references = document === undefined ? [] : listReferences(document as Document)
  for (const service of findReferences(base) ?? []) {
    if (!references.includes(service)) await releaseReference(context, service, base.service)
  }
}

/** The previous edit may be missing in the history, when its tool ended too early. */
function listBaseEdit ({ version, edit }: ServiceState): PastEdit[] {
  if (edit === undefined) return []
  const { editId, author, acceptedAt, document, deleted } = edit
  return [{ editId, author, acceptedAt, document, deleted, version }]
}
