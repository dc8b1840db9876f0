/**
 * Deletes a service: marks its `referrers` object as closing when no referrer is left, then writes
 * a tombstone that replaces the version in the mark. A tool that ends between the two steps blocks
 * no other edit: an edit that finds the mark fences the service, and another deletion continues from it.
 */
import { v7 as makeUuid } from 'uuid'
import { Err, makeFault } from '../../core/index.js'
import type { Clock, Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { makeEditContext, waitBeforeRetry } from '../context.js'
import type { EditContext, EditRequest } from '../context.js'
import { readState } from '../queries/read.js'
import type { ServiceState } from '../queries/read.js'
import { acceptEdit, makeConflictFault, readBase } from './accept.js'
import type { AcceptedEdit, EditContent } from './accept.js'
import { finishEdit, isOnlyFenced } from './apply.js'
import { makeContentionFault, markClosing } from './refer.js'

const MAX_ATTEMPTS = 32

export interface RemoveRequest extends EditRequest { service: string }

export async function removeDocument (store: ObjectStore, clock: Clock, request: RemoveRequest): Promise<Result<AcceptedEdit, Fault>> {
  const context = makeEditContext(store, clock, request)
  const { service, author, expected } = request
  const content: EditContent = { editId: makeUuid(), author, deleted: true }
  const initial = await readBase(context, service, expected)
  if (initial.err) return initial
  let base = initial.val
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (base.version === 0 || base.edit?.deleted === true) return Err(makeFault('missing', `there is no service ${service}`))
    const removed = await attemptRemove(context, base, content)
    if (removed !== undefined) return removed
    await waitBeforeRetry(context, attempt)
    const current = await readState(context, service)
    if (current.err) return current
    if (current.val.version !== base.version && !isOnlyFenced(base, current.val)) return Err(makeConflictFault(base, current.val.version))
    base = current.val
  }
  return Err(makeContentionFault(service))
}

/** Resolves to undefined when an object changed, possibly only by a fence, and all must be read again. */
async function attemptRemove (context: EditContext, base: ServiceState, content: EditContent): Promise<Result<AcceptedEdit, Fault> | undefined> {
  const marked = await markClosing(context, base)
  if (marked.err) return marked
  if (!marked.val) return undefined
  const accepted = await acceptEdit(context, base, content)
  if (accepted.ok) await finishEdit(context, base, content, accepted.val)
  return accepted.err && accepted.val.code === 'conflict' ? undefined : accepted
}
