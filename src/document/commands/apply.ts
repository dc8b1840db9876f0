/**
 * Acceptance of a document as the new version of its service: records its references, writes it,
 * then releases the references that it no longer makes and keeps it in the history.
 */
import { v7 as makeUuid } from 'uuid'
import { Err, SystemRandom } from '../../core/index.js'
import type { Clock, Fault, Random, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { waitBeforeRetry } from '../context.js'
import type { EditContext } from '../context.js'
import { findStateReferences, readState } from '../queries/read.js'
import type { ServiceState } from '../queries/read.js'
import { listReferences } from '../queries/references.js'
import type { Document } from '../schema.js'
import type { PastEdit } from '../stored.js'
import { acceptEdit, makeConflictFault } from './accept.js'
import type { AcceptedEdit, EditContent } from './accept.js'
import { keepHistory } from './keep.js'
import { makeContention, recordReference, releaseReference } from './refer.js'

/** An edit that meets only fences is tried again on their version, which has the same content. */
const ATTEMPTS = 8

export interface ApplyRequest {
  document: Document
  author: string
  /** The version to replace, 0 for a new service; absent takes the one that is there. */
  expected?: number
  /** For the jitter between attempts. */
  random?: Random
}

export async function applyDocument (store: ObjectStore, clock: Clock, request: ApplyRequest): Promise<Result<AcceptedEdit, Fault>> {
  const context: EditContext = { store, clock, random: request.random ?? new SystemRandom() }
  const { document, author, expected } = request
  const base = await readState(context, document.service)
  if (base.err) return base
  if (expected !== undefined && expected !== base.val.version) {
    return Err(makeConflictFault({ service: document.service, version: expected }, base.val.version))
  }
  const content = { editId: makeUuid(), author, document, deleted: false }
  return await applyOnBase(context, base.val, document, content)
}

async function applyOnBase (
  context: EditContext, first: ServiceState, document: Document, content: EditContent
): Promise<Result<AcceptedEdit, Fault>> {
  let base = first
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const recorded = await recordReferences(context, base, document)
    if (recorded !== undefined) return Err(recorded)
    const accepted = await acceptEdit(context, base, content)
    if (accepted.ok) {
      await finishEdit(context, base, content, accepted.val)
      return accepted
    }
    if (accepted.val.code !== 'conflict') return accepted
    const now = await readState(context, base.service)
    if (now.err || !isFenced(base, now.val)) return accepted
    base = now.val
    await waitBeforeRetry(context, attempt)
  }
  return Err(makeContention(document.service))
}

async function recordReferences (context: EditContext, referrer: ServiceState, document: Document): Promise<Fault | undefined> {
  for (const service of listReferences(document)) {
    const recorded = await recordReference(context, { service, referrer })
    if (recorded.err) return recorded.val
  }
  return undefined
}

/** True when the object was only fenced since. A first write that is a tombstone is a fence, too. */
export function isFenced (base: ServiceState, now: ServiceState): boolean {
  if (now.version <= base.version || now.edit === undefined) return false
  if (base.version === 0) return now.edit.deleted && now.edit.earlierEdits.length === 0
  return now.edit.editId === base.edit?.editId
}

/** What follows an accepted edit, by best effort: the edit stands whatever becomes of this. */
export async function finishEdit (context: EditContext, base: ServiceState, content: EditContent, accepted: AcceptedEdit): Promise<void> {
  const { editId, author, document, deleted } = content
  const edit: PastEdit = { editId, author, document, deleted, version: accepted.version, acceptedAt: accepted.acceptedAt }
  await keepHistory(context, base.service, [...listBase(base), edit])
  const kept = document === undefined ? [] : listReferences(document as Document)
  for (const service of findStateReferences(base) ?? []) {
    if (!kept.includes(service)) await releaseReference(context, service, base.service)
  }
}

/** The edit before may have been kept by no one, when its tool ended too early. */
function listBase ({ version, edit }: ServiceState): PastEdit[] {
  if (edit === undefined) return []
  const { editId, author, acceptedAt, document, deleted } = edit
  return [{ editId, author, acceptedAt, document, deleted, version }]
}
