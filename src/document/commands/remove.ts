/**
 * Deletion of a service: marks its `referrers` object as closing when no referrer is left, then
 * writes a tombstone on the version of the mark. A tool that ends between the two holds nobody
 * up: an edit that meets the mark fences the service, and another deletion goes on from it.
 */
import { v7 as makeUuid } from 'uuid'
import { Err, SystemRandom, makeFault } from '../../core/index.js'
import type { Clock, Fault, Random, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { waitBeforeRetry } from '../context.js'
import type { EditContext } from '../context.js'
import { readState } from '../queries/read.js'
import type { ServiceState } from '../queries/read.js'
import { acceptEdit, makeConflictFault } from './accept.js'
import type { AcceptedEdit, EditContent } from './accept.js'
import { finishEdit, isFenced } from './apply.js'
import { makeContention, markClosing } from './refer.js'

const ATTEMPTS = 32

export interface RemoveRequest {
  service: string
  author: string
  /** The version to delete; absent takes the one that is there. */
  expected?: number
  /** For the jitter between attempts. */
  random?: Random
}

export async function removeDocument (store: ObjectStore, clock: Clock, request: RemoveRequest): Promise<Result<AcceptedEdit, Fault>> {
  const context: EditContext = { store, clock, random: request.random ?? new SystemRandom() }
  const { service, author, expected } = request
  const content: EditContent = { editId: makeUuid(), author, deleted: true }
  const first = await readState(context, service)
  if (first.err) return first
  if (expected !== undefined && expected !== first.val.version) return Err(makeConflictFault({ service, version: expected }, first.val.version))
  let base = first.val
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    if (base.version === 0 || base.edit?.deleted === true) return Err(makeFault('missing', `there is no service ${service}`))
    const removed = await removeOnce(context, base, content)
    if (removed !== undefined) return removed
    await waitBeforeRetry(context, attempt)
    const now = await readState(context, service)
    if (now.err) return now
    if (now.val.version !== base.version && !isFenced(base, now.val)) return Err(makeConflictFault(base, now.val.version))
    base = now.val
  }
  return Err(makeContention(service))
}

/** Nothing when something has changed that may be only a fence, so that all has to be read again. */
async function removeOnce (context: EditContext, base: ServiceState, content: EditContent): Promise<Result<AcceptedEdit, Fault> | undefined> {
  const marked = await markClosing(context, base)
  if (marked.err) return marked
  if (!marked.val) return undefined
  const accepted = await acceptEdit(context, base, content)
  if (accepted.ok) await finishEdit(context, base, content, accepted.val)
  return accepted.err && accepted.val.code === 'conflict' ? undefined : accepted
}
