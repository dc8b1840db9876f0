/**
 * Acceptance of an edit: complete check, then one conditional write on the service's object.
 */
import { v7 as makeUuid } from 'uuid'
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Clock, Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../platform/index.js'
import type { Document, Edit } from '../schema.js'
import { readEdit } from '../queries/read.js'
import type { StoredEdit } from '../queries/read.js'

const KEPT_EDIT_IDS = 16

export interface ApplyRequest {
  document: Document
  author: string
  /** The version to replace, 0 for a new service; absent takes the one that is there. */
  expected?: number
}

/** `acceptedAt` is the tool's wall clock in ms, as it stands in the object. */
export interface Accepted { service: string, version: number, editId: string, acceptedAt: number }

export async function applyDocument (store: ObjectStore, clock: Clock, request: ApplyRequest): Promise<Result<Accepted, Fault>> {
  const service = request.document.service
  const current = await readEdit(store, service)
  if (current.err) return current
  const expected = request.expected ?? current.val?.version ?? 0
  const edit = makeEdit(clock, current.val, request)
  const written = await store.commands.write({ kind: 'service', name: service, expected, value: edit })
  if (written.ok) return Ok({ service, version: written.val, editId: edit.editId, acceptedAt: edit.acceptedAt })
  return Err(makeFault(written.val.code, written.val.message, { ...(written.val.version === undefined ? {} : { version: written.val.version }) }))
}

function makeEdit (clock: Clock, current: StoredEdit | undefined, request: ApplyRequest): Edit {
  const earlier = current === undefined ? [] : [current.edit.editId, ...current.edit.earlierEditIds].slice(0, KEPT_EDIT_IDS)
  return {
    editId: makeUuid(),
    earlierEditIds: earlier,
    author: request.author,
    acceptedAt: clock.now(),
    document: request.document,
    deleted: false
  }
}
